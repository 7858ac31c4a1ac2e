/**
 * Runs that a VM lists and that are not in the tables: those of an earlier scheduler are adopted, and those that nobody
 * wants any more become orphans, which are stopped.
 */
import type { Instant } from '@figjunction/time';
import type { RunningTask } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import { isFinished } from './job-table.js';
import { RunPhase, buildRunKey } from './records.js';
import type { OrphanRun, RunRecord, TaskRecord, VmRecord } from './records.js';

/** Adds a run that an earlier scheduler started, or records it as an orphan to be stopped. */
export function adoptRun(
  state: CellState,
  vm: VmRecord,
  { taskId, run }: RunningTask,
  now: Instant,
): RunRecord | null {
  const task = state.findTask(taskId);
  const key = buildRunKey(taskId, run);
  if (task === null || !isAdoptable(task)) {
    if (!vm.orphans.has(key)) {
      const specification = task?.step.specification ?? null;
      vm.orphans.set(key, { taskId, run, specification, sendAt: now });
    }
    return null;
  }
  vm.orphans.delete(key);
  return state.addRun({ task, vm, run, phase: RunPhase.Running, now });
}

/** A list contains all runs of the VM, so an orphan that it does not contain has ended. */
export function removeUnlistedOrphans({ orphans }: VmRecord, listed: RunningTask[]): void {
  if (orphans.size === 0) {
    return;
  }
  const keys = new Set(listed.map(({ taskId, run }) => buildRunKey(taskId, run)));
  for (const key of orphans.keys()) {
    if (!keys.has(key)) {
      orphans.delete(key);
    }
  }
}

/** Returns the orphans of the VM that were not among the known ones. */
export function listNewOrphans({ orphans }: VmRecord, knownKeys: ReadonlySet<string>): OrphanRun[] {
  return [...orphans].flatMap(([key, orphan]) => (knownKeys.has(key) ? [] : [orphan]));
}

function isAdoptable(task: TaskRecord): boolean {
  const { occurrence, specification } = task.step;
  const isFree = task.runs.length === 0 || specification.duplicatesAllowed;
  return !task.done && !occurrence.job.cancelled && !isFinished(occurrence.state) && isFree;
}
