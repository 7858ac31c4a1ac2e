/**
 * Removes the runs of VMs that have left or restarted, or whose lease has expired.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import type { VmRecord } from './records.js';

/** Removes all runs, orphans and reservations of a VM; unfinished tasks wait again. */
export function removeAllRuns(state: CellState, vm: VmRecord, now: Instant): void {
  for (const record of [...vm.runs.values()]) {
    state.removeRun(record, now);
  }
  vm.orphans.clear();
  vm.reservations.clear();
  vm.unlistedRuns.clear();
  // It has reported to this scheduler, and none of the runs that it may have held is left.
  state.unreportedVms.delete(vm.id);
}

/**
 * Closes the sessions of VMs whose `leaseExpiresAt` has passed and removes their runs. Returns these VMs.
 * VMs that never reported to this scheduler are dropped from `unreportedVms` by the same bound.
 */
export function expireVmLeases(state: CellState, now: Instant): VmRecord[] {
  const expired = [...state.vms.values()].filter(
    (vm) => vm.session !== 0 && vm.leaseExpiresAt <= now,
  );
  for (const vm of expired) {
    vm.session = 0;
    vm.isLeaseExpired = true;
    vm.lapsedAt = now;
    vm.lapsedRuns = [...vm.runs.values()];
    removeAllRuns(state, vm, now);
  }
  for (const [id, leaseExpiresAt] of state.unreportedVms) {
    if (leaseExpiresAt <= now) {
      state.unreportedVms.delete(id);
    }
  }
  return expired;
}
