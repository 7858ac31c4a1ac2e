/**
 * Tells why a waiting task is placed on no VM, for the log of a cell.
 */
import type { Instant } from '@figjunction/time';
import { isPermitted } from './advice.js';
import type { CellState } from './cell-state.js';
import {
  computeFreeCapacity,
  estimateUnusedMillicores,
  fitsOnVm,
  listEligibleVms,
} from './placement-rules.js';
import type { TaskRecord, VmRecord } from './records.js';

export enum PlacementObstacle {
  /** No VM of the service may start the task: sessions, health, labels or the limit on tasks per VM. */
  NoEligibleVm = 'noEligibleVm',
  Processor = 'processor',
  Memory = 'memory',
  /** Some VMs have the processor capacity and others the memory, but none has both. */
  ProcessorBesideMemory = 'processorBesideMemory',
  Accelerators = 'accelerators',
  /** No VM has enough processor time unused for the filler task. */
  FillerProcessor = 'fillerProcessor',
  /** Some VMs have, but the filler task would slow their serving tasks. */
  FillerPressure = 'fillerPressure',
  /** The task fits on VMs for none of which it has a ticket of the adviser. */
  Ticket = 'ticket',
  /** The task fits on a VM: it waits for the next placement or for a trial. */
  None = 'none',
}

/** Returns what keeps the task from starting now. */
export function findPlacementObstacle(
  state: CellState,
  task: TaskRecord,
  now: Instant,
): PlacementObstacle {
  const vms = listEligibleVms(state, task.step, now);
  if (vms.length === 0) {
    return PlacementObstacle.NoEligibleVm;
  }
  const fitting = vms.filter((vm) => fitsOnVm(state, vm, task));
  if (fitting.length > 0) {
    const hasTicket = fitting.some((vm) => isPermitted(state, task.step, vm, now));
    return hasTicket ? PlacementObstacle.None : PlacementObstacle.Ticket;
  }
  return findMissingResource(vms, task);
}

function findMissingResource(vms: VmRecord[], task: TaskRecord): PlacementObstacle {
  const { resources, fills } = task.step.specification;
  const free = vms.map((vm) => computeFreeCapacity(vm, task));
  const hasProcessor = free.some(
    ({ processorMillicores }) => fills || processorMillicores >= resources.processorMillicores,
  );
  const hasMemory = free.some(
    ({ memoryMegabytes }) => memoryMegabytes >= resources.memoryMegabytes,
  );
  if (!free.some(({ accelerators }) => accelerators >= resources.accelerators)) {
    return PlacementObstacle.Accelerators;
  }
  if (!hasProcessor) {
    return PlacementObstacle.Processor;
  }
  if (!hasMemory) {
    return PlacementObstacle.Memory;
  }
  if (!fills) {
    return PlacementObstacle.ProcessorBesideMemory;
  }
  const hasUnusedTime = vms.some(
    (vm) =>
      estimateUnusedMillicores(vm, computeFreeCapacity(vm, task)) >= resources.processorMillicores,
  );
  return hasUnusedTime ? PlacementObstacle.FillerPressure : PlacementObstacle.FillerProcessor;
}
