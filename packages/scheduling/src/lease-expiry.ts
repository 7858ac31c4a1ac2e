/**
 * Gives up the runs of VMs that have left or restarted, or whose lease has expired. Nothing runs on a VM any more once
 * its lease has expired, but its runs may have ended as done before: their tasks wait some time for its list.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import type { RunRecord, VmRecord } from './records.js';

/** How long the tasks of a VM whose lease has expired wait for its list, before they start elsewhere without it. */
const LIST_WAIT_MS = 1_200;

/** Removes all runs, orphans and reservations of a VM; unfinished tasks wait again. */
export function removeAllRuns(state: CellState, vm: VmRecord, now: Instant): void {
  for (const record of [...vm.runs.values()]) {
    state.removeRun(record, now);
  }
  vm.listAwaitedUntil = null;
  vm.orphans.clear();
  vm.reservations.clear();
  vm.unlistedRuns.clear();
  // It has reported to this scheduler, and none of the runs that it may have held is left.
  state.unreportedVms.delete(vm.id);
}

/**
 * Closes the sessions of VMs whose `leaseExpiresAt` has passed, and removes their runs: at once those that no list can
 * show as done, the others when the VM has not listed them in time. Returns the VMs whose sessions it has closed. VMs that never
 * reported to this scheduler are dropped from `unreportedVms` by the same bounds.
 */
export function expireVmLeases(state: CellState, now: Instant): VmRecord[] {
  const expired: VmRecord[] = [];
  for (const vm of state.vms.values()) {
    if (vm.session !== 0 && vm.leaseExpiresAt <= now) {
      closeSession(state, vm, now);
      expired.push(vm);
    }
    if (vm.listAwaitedUntil !== null && vm.listAwaitedUntil <= now) {
      vm.lapsedRuns.push(...vm.runs.values());
      removeAllRuns(state, vm, now);
    }
  }
  for (const [id, leaseExpiresAt] of state.unreportedVms) {
    if (leaseExpiresAt + LIST_WAIT_MS <= now) {
      state.unreportedVms.delete(id);
    }
  }
  return expired;
}

/** A VM that does not even answer its runner has no list to wait for. */
function closeSession(state: CellState, vm: VmRecord, now: Instant): void {
  vm.session = 0;
  vm.listAwaitedUntil = vm.isSilent ? now : now + LIST_WAIT_MS;
  vm.lapsedRuns = [...vm.runs.values()].filter(hasNoResult);
  vm.lapsedRuns.forEach((run) => state.removeRun(run, now));
  vm.orphans.clear();
  vm.reservations.clear();
}

function hasNoResult({ isSent, task }: RunRecord): boolean {
  return !isSent || task.step.specification.longRunning;
}
