/**
 * How full a VM is.
 */
import type { Resources } from '@figjunction/types';

/** The largest used fraction among the resources of a VM, 0 for a VM without capacity. */
export function dominantShare(used: Resources, capacity: Resources): number {
  const shares = [
    shareOf(used.processorMillicores, capacity.processorMillicores),
    shareOf(used.memoryMegabytes, capacity.memoryMegabytes),
    shareOf(used.accelerators, capacity.accelerators),
  ];
  return Math.max(...shares);
}

function shareOf(used: number, capacity: number): number {
  return capacity > 0 ? used / capacity : 0;
}
