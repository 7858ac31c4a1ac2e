/**
 * Moves work off VMs that are about to leave: long-running tasks at once, and work with checkpoints that
 * would not end in the time that is left. Other work is left to end by itself.
 */
import type { Instant } from '@figjunction/time';
import { VmState } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import { RunPhase } from './records.js';
import type { RunRecord, VmRecord } from './records.js';

/** Below this progress, the speed of a run is not known yet and its estimate is used. */
const KNOWN_PROGRESS_PERCENT = 10;
const FULL_PERCENT = 100;
/** Time for the stop and the end to arrive before the VM is gone. */
const STOP_MARGIN_MS = 700;

export function evacuateDrainingVms(state: CellState, now: Instant): RunRecord[] {
  const stopped: RunRecord[] = [];
  for (const vm of state.vms.values()) {
    if (vm.announcement?.state === VmState.Draining && vm.session !== 0) {
      for (const run of vm.runs.values()) {
        if (run.phase === RunPhase.Running && mustMove(run, vm, now)) {
          state.orderStop(run, now);
          stopped.push(run);
        }
      }
    }
  }
  return stopped;
}

function mustMove(run: RunRecord, vm: VmRecord, now: Instant): boolean {
  const { longRunning, checkpoints, gang } = run.task.step.specification;
  if (longRunning) {
    return true;
  }
  if (!checkpoints || gang) {
    return false;
  }
  const left = (vm.announcement?.remainingMs ?? 0) - (now - vm.reportedAt) - STOP_MARGIN_MS;
  return remainingMs(run, now) > left;
}

function remainingMs({ task, percent, runningSince }: RunRecord, now: Instant): number {
  const rest = (FULL_PERCENT - percent) / FULL_PERCENT;
  if (percent < KNOWN_PROGRESS_PERCENT) {
    return task.step.specification.estimateMs * rest;
  }
  return ((now - runningSince) / percent) * FULL_PERCENT * rest;
}
