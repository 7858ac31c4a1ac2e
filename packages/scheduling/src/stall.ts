/**
 * Finds runs that make no progress and has them started elsewhere.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import { RunPhase } from './records.js';
import type { RunRecord } from './records.js';
import { noteFailure } from './vm-health.js';

/** Progress is reported in whole percents, so a long task shows none for a while. */
const STALL_MINIMUM_MS = 1_800;
const STALL_SHARE_OF_ESTIMATE = 0.25;
/** Work that fills may get no processor time for a while. */
const FILL_STALL_MS = 6_000;

export function stopStalledRuns(state: CellState, now: Instant): RunRecord[] {
  const stalled: RunRecord[] = [];
  for (const vm of state.vms.values()) {
    for (const run of vm.runs.values()) {
      if (isStalled(run, now)) {
        noteFailure(vm, run.task, now);
        run.task.failedOn.add(vm.id);
        state.orderStop(run, now);
        stalled.push(run);
      }
    }
  }
  return stalled;
}

function isStalled({ phase, task, percentChangedAt }: RunRecord, now: Instant): boolean {
  const { longRunning, gang, fills, estimateMs } = task.step.specification;
  if (phase !== RunPhase.Running || longRunning || gang) {
    return false;
  }
  const boundMs = fills
    ? FILL_STALL_MS
    : Math.max(STALL_MINIMUM_MS, STALL_SHARE_OF_ESTIMATE * estimateMs);
  return now - percentChangedAt > boundMs;
}
