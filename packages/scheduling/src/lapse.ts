/**
 * Takes the runs off VMs that have ended, started anew, or lost their lease.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import type { VmRecord } from './records.js';

export function removeAllRuns(state: CellState, vm: VmRecord, now: Instant): void {
  for (const record of [...vm.runs.values()]) {
    state.removeRun(record, now);
  }
  vm.reservations.clear();
}

/** Takes the runs off VMs whose lease has surely expired. Returns those VMs. */
export function lapseVms(state: CellState, now: Instant): VmRecord[] {
  const lapsed = [...state.vms.values()].filter((vm) => vm.session !== 0 && vm.lapseAt <= now);
  for (const vm of lapsed) {
    vm.session = 0;
    vm.lapsed = true;
    removeAllRuns(state, vm, now);
  }
  for (const [id, lapseAt] of state.unheard) {
    if (lapseAt <= now) {
      state.unheard.delete(id);
    }
  }
  return lapsed;
}
