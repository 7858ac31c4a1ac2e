/**
 * Stops runs without progress, so that their tasks restart on other VMs. Only time that lists of the VM cover
 * counts: a VM whose reports are late may be working.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import { RunPhase } from './records.js';
import type { RunRecord } from './records.js';
import { recordFailure } from './vm-health.js';

/** Lower bound of the stall timeout. */
const STALL_TIMEOUT_MINIMUM_MS = 1_800;
/** Progress is reported in whole percent, so the timeout grows with the estimated duration of a task. */
const STALL_SHARE_OF_ESTIMATE = 0.25;
/** Longer for filler tasks, which may get no processor time for a while. */
const FILLER_STALL_TIMEOUT_MS = 6_000;

/** Returns the runs that were ordered to stop. */
export function stopStalledRuns(state: CellState, now: Instant): RunRecord[] {
  const stalled: RunRecord[] = [];
  for (const vm of state.vms.values()) {
    for (const run of vm.runs.values()) {
      if (isStalled(run)) {
        recordFailure(vm, run.task, run.placedAt, now);
        run.task.failedVms.add(vm.id);
        state.orderStop(run, now);
        stalled.push(run);
      }
    }
  }
  return stalled;
}

function isStalled({ phase, task, vm, percentChangedAt }: RunRecord): boolean {
  const { longRunning, gang, fills, estimateMs } = task.step.specification;
  if (phase !== RunPhase.Running || longRunning || gang) {
    return false;
  }
  const timeoutMs = fills
    ? FILLER_STALL_TIMEOUT_MS
    : Math.max(STALL_TIMEOUT_MINIMUM_MS, STALL_SHARE_OF_ESTIMATE * estimateMs);
  return vm.listedAt - percentChangedAt > timeoutMs;
}
