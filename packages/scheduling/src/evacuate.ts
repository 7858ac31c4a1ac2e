/**
 * Stops runs on draining VMs so that their tasks restart elsewhere: long-running tasks at once, and tasks with
 * checkpoints that would not finish before the VM leaves. All other runs continue.
 */
import type { Instant } from '@figjunction/time';
import { VmState } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import { RunPhase } from './records.js';
import type { RunRecord, VmRecord } from './records.js';

/** Below this progress, the measured rate is unreliable and the estimate of the task is used instead. */
const RATE_KNOWN_PERCENT = 10;
const FULL_PERCENT = 100;
/** Time for the stop order to arrive and the end to be reported before the VM leaves. */
const STOP_MARGIN_MS = 700;

/** Returns the runs that were ordered to stop. */
export function evacuateDrainingVms(state: CellState, now: Instant): RunRecord[] {
  const stopped: RunRecord[] = [];
  for (const vm of state.vms.values()) {
    if (vm.announcement?.state === VmState.Draining && vm.session !== 0) {
      for (const run of vm.runs.values()) {
        if (run.phase === RunPhase.Running && mustEvacuate(run, vm, now)) {
          state.orderStop(run, now);
          stopped.push(run);
        }
      }
    }
  }
  return stopped;
}

function mustEvacuate(run: RunRecord, vm: VmRecord, now: Instant): boolean {
  const { longRunning, checkpoints, gang } = run.task.step.specification;
  if (longRunning) {
    return true;
  }
  if (!checkpoints || gang) {
    return false;
  }
  const availableMs = (vm.announcement?.remainingMs ?? 0) - (now - vm.reportedAt) - STOP_MARGIN_MS;
  return estimateRemainingMs(run, now) > availableMs;
}

function estimateRemainingMs({ task, percent, runningSince }: RunRecord, now: Instant): number {
  const remainingShare = (FULL_PERCENT - percent) / FULL_PERCENT;
  if (percent < RATE_KNOWN_PERCENT) {
    return task.step.specification.estimateMs * remainingShare;
  }
  return ((now - runningSince) / percent) * FULL_PERCENT * remainingShare;
}
