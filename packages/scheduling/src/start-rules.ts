/**
 * Whether a task could start on a VM if there were room for it, before runs are stopped for its sake.
 */
import type { Instant } from '@figjunction/time';
import { isPermitted } from './advice.js';
import type { CellState } from './cell-state.js';
import { isBearable, isEligibleVm } from './placement-rules.js';
import type { TaskRecord, VmRecord } from './records.js';
import { isKeptFromTask } from './trials.js';

/** True if nothing but a lack of capacity keeps the task from starting on the VM, which is one of its service. */
export function mayStartGivenRoom(
  state: CellState,
  vm: VmRecord,
  task: TaskRecord,
  now: Instant,
): boolean {
  const { step } = task;
  return (
    vm.announcement?.service === state.getPolicy(step.occurrence.job).service &&
    isEligibleVm(vm, step, now) &&
    isPermitted(state, step, vm, now) &&
    !isKeptFromTask(vm, task, now) &&
    isBearable(state, vm, task)
  );
}
