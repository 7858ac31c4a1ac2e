/**
 * Computes the capacity that the runs of a VM leave. A run that is being stopped holds its resources until its end
 * is reported, also when it belongs to no task that may run.
 */
import type { Resources, StepSpecification } from '@figjunction/types';
import type { VmRecord } from './records.js';

/** Capacity without the resources of all runs; negative if the capacity has shrunk below them. */
export function computeUnusedCapacity({ announcement, used, orphans }: VmRecord): Resources {
  if (announcement === null) {
    return { processorMillicores: 0, memoryMegabytes: 0, accelerators: 0 };
  }
  const unused = subtract(announcement.capacity, used);
  if (orphans.size === 0) {
    return unused;
  }
  return [...orphans.values()].reduce(
    (left, { specification }) =>
      specification === null ? left : subtract(left, computeDemand(specification)),
    unused,
  );
}

/** True if the runs of the VM take more than its capacity, which may have shrunk since they were started. */
export function isOverCapacity(vm: VmRecord): boolean {
  const { processorMillicores, memoryMegabytes, accelerators } = computeUnusedCapacity(vm);
  return processorMillicores < 0 || memoryMegabytes < 0 || accelerators < 0;
}

/** What a task of the step takes of a VM's capacity. Filler tasks take no processor capacity. */
function computeDemand({ resources, fills }: StepSpecification): Resources {
  return fills ? { ...resources, processorMillicores: 0 } : resources;
}

function subtract(from: Resources, amount: Resources): Resources {
  return {
    processorMillicores: from.processorMillicores - amount.processorMillicores,
    memoryMegabytes: from.memoryMegabytes - amount.memoryMegabytes,
    accelerators: from.accelerators - amount.accelerators,
  };
}
