/**
 * Withdraws start orders from a VM whose capacity no longer holds them, because it has shrunk or because the VM
 * turned out to have further runs. Some VMs start whatever they are told to. Runs that the VM has confirmed go on.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import { RunPhase } from './records.js';
import type { RunRecord, VmRecord } from './records.js';
import { isOverCapacity } from './room.js';

/**
 * Returns the withdrawn runs. The run of an order that was sent may already be on the VM: it is stopped and holds
 * its room until it has ended, so its withdrawal makes no room for other orders, but it is not sent again.
 */
export function withdrawExcessOrders(state: CellState, vm: VmRecord, now: Instant): RunRecord[] {
  if (!isOverCapacity(vm)) {
    return [];
  }
  const withdrawn: RunRecord[] = [];
  for (const order of listOrders(vm)) {
    // An earlier member of its gang may have withdrawn the order.
    if (isOverCapacity(vm) && isOpen(order)) {
      const runs = findGangRun(order);
      runs.forEach((run) => state.orderStop(run, now));
      withdrawn.push(...runs);
    }
  }
  return withdrawn;
}

/**
 * The orders in the order of their withdrawal: first those that were not sent, which makes room at once, and last
 * those of gangs, because the other members of the gang have to stop as well; among these the latest first.
 */
function listOrders(vm: VmRecord): RunRecord[] {
  const costOf = ({ isSent, task }: RunRecord): number =>
    (isSent ? 1 : 0) + (task.step.specification.gang ? 2 : 0);
  return [...vm.runs.values()]
    .filter(isOpen)
    .reverse()
    .sort((left, right) => costOf(left) - costOf(right));
}

/** True for a start order that is neither confirmed nor withdrawn. */
function isOpen(run: RunRecord): boolean {
  return run.phase === RunPhase.Ordered && run.task.runs.includes(run);
}

/** The run itself, or all members of its gang: a gang that misses a member does not work. */
function findGangRun(order: RunRecord): RunRecord[] {
  const { step } = order.task;
  if (!step.specification.gang) {
    return [order];
  }
  return step.tasks
    .flatMap(({ runs }) => runs)
    .filter(({ run, phase }) => run === order.run && phase !== RunPhase.Stopping);
}
