/**
 * Decides at the start of a session what has become of the runs that the VM does not list as running. Such a run has
 * ended, but a VM lists only some of its ends if there are many: until it has listed all, the run may have ended as
 * done, and its task must not start again.
 */
import type { Instant } from '@figjunction/time';
import type { ReportParameters } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import { RunPhase, buildRunKey } from './records.js';
import type { VmRecord } from './records.js';

type ListedRuns = Pick<ReportParameters, 'running'>;

/**
 * At the start of a session, finds the runs that are not listed and resends unconfirmed orders. A run that is being
 * stopped may not have started yet, and an earlier call can still start it, so the runner has to rule that out.
 */
export function reconcileRuns(
  state: CellState,
  vm: VmRecord,
  report: ListedRuns,
  now: Instant,
): void {
  const listed = keysOf(report);
  vm.unlistedRuns.clear();
  for (const [key, record] of vm.runs) {
    if (record.phase !== RunPhase.Running) {
      record.sendAt = now;
    } else if (!listed.has(key)) {
      vm.unlistedRuns.add(record);
    }
  }
}

/**
 * Removes the runs that were not listed at the start of the session once the VM has listed all its ends. Until then
 * the VM counts as unreported for the jobs that an earlier scheduler may have run there, and time without progress
 * does not count: a run that seems to stand still may have ended.
 */
export function settleUnlistedRuns(
  state: CellState,
  vm: VmRecord,
  { hasUnlistedEnds }: Pick<ReportParameters, 'hasUnlistedEnds'>,
  now: Instant,
): void {
  if (!hasUnlistedEnds) {
    vm.unlistedRuns.forEach((record) => state.removeRun(record, now));
    vm.unlistedRuns.clear();
    state.unreportedVms.delete(vm.id);
    return;
  }
  vm.runs.forEach((record) => {
    record.percentChangedAt = now;
  });
  if (state.unreportedVms.has(vm.id)) {
    // Its lease is extended now; when that expires, `expireVmLeases` drops the VM.
    state.unreportedVms.set(vm.id, Number.POSITIVE_INFINITY);
  }
}

function keysOf({ running }: ListedRuns): Set<string> {
  return new Set((running ?? []).map(({ taskId, run }) => buildRunKey(taskId, run)));
}
