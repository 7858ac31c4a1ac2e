/**
 * Converts the progress of an occurrence to its stored row and back.
 */
import type { AgentId, ProgressRow } from '@figjunction/types';
import type { OccurrenceRecord } from './records.js';

/** A stored row holds one of these characters for each task of a step. */
const DONE_MARK = '1';
const UNFINISHED_MARK = '0';

/**
 * Builds the stored row of an occurrence. `unreportedVms` may still hold runs of an earlier scheduler, so the
 * row continues to list them as runners.
 */
export function encodeProgress(
  occurrence: OccurrenceRecord,
  unreportedVms: ReadonlyMap<AgentId, unknown>,
): ProgressRow {
  const failures: Record<string, number[]> = {};
  const crashes: Record<string, number[]> = {};
  const done = occurrence.steps.map((step) =>
    step.tasks.map((task) => (task.done ? DONE_MARK : UNFINISHED_MARK)).join(''),
  );
  for (const task of occurrence.steps.flatMap(({ tasks }) => tasks)) {
    // A restart of a long-running task is delayed by its failures, which need not outlive this scheduler.
    if (task.failedRuns.length > 0 && !task.step.specification.longRunning) {
      failures[`${task.step.index}.${task.index}`] = task.failedRuns;
    }
    if (task.crashes.length > 0) {
      crashes[`${task.step.index}.${task.index}`] = task.crashes;
    }
  }
  const runners = new Set([...occurrence.storedVms].filter((id) => unreportedVms.has(id)));
  for (const { vm } of occurrence.steps.flatMap(({ tasks }) => tasks.flatMap(({ runs }) => runs))) {
    runners.add(vm.id);
  }
  const { state, hasBegun } = occurrence;
  return { state, done, failures, crashes, runners: [...runners], hasBegun };
}

/** Applies a stored row to an occurrence that was just created. */
export function restoreProgress(occurrence: OccurrenceRecord, row: ProgressRow): void {
  occurrence.state = row.state;
  occurrence.storedState = row.state;
  occurrence.storedVms = new Set(row.runners);
  occurrence.hasBegun = row.hasBegun ?? true;
  for (const step of occurrence.steps) {
    const marks = row.done[step.index] ?? '';
    for (const task of step.tasks) {
      task.failedRuns = row.failures[`${step.index}.${task.index}`] ?? [];
      task.hasRun = row.runners.length > 0;
      task.crashes = row.crashes?.[`${step.index}.${task.index}`] ?? [];
      if (marks[task.index] === DONE_MARK) {
        task.done = true;
        step.doneCount += 1;
        step.waiting.delete(task);
      }
    }
  }
}
