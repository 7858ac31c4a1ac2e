/**
 * Moves occurrences on: makes steps ready, applies the ends of runs, finishes occurrences.
 */
import type { Instant } from '@figjunction/time';
import { JobState, RunEnding } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import { isFinished, taskWork } from './job-table.js';
import type { OccurrenceRecord, RunRecord, StepRecord, TaskRecord } from './records.js';

/** Delay before a long-running task that failed starts again, per failure, and its bound. */
const RESTART_DELAY_MS = 100;
const RESTART_DELAY_MAXIMUM_MS = 1_000;

export interface TaskEnd {
  task: TaskRecord;
  /** The run as it is known here; null for one of an earlier scheduler. */
  record: RunRecord | null;
  run: number;
  ending: RunEnding;
  checkpoint: string;
}

/** Makes the steps ready whose predecessors are done. */
export function updateReadySteps(occurrence: OccurrenceRecord, now: Instant): void {
  for (const step of occurrence.steps) {
    if (!step.ready && step.specification.after.every((index) => isStepDone(occurrence, index))) {
      step.ready = true;
      for (const task of step.waiting) {
        task.waitingSince = Math.max(now, occurrence.dueAt);
      }
    }
  }
}

function isStepDone(occurrence: OccurrenceRecord, index: number): boolean {
  const step = occurrence.steps[index];
  return step !== undefined && step.doneCount === step.tasks.length;
}

export function applyEnd(state: CellState, end: TaskEnd, now: Instant): void {
  const { task, record, ending, checkpoint } = end;
  if (checkpoint !== '') {
    setCheckpoint(task, checkpoint);
  }
  if (record !== null) {
    state.removeRun(record, now);
  }
  const { occurrence, specification } = task.step;
  if (task.done || isFinished(occurrence.state)) {
    return;
  }
  if (specification.longRunning) {
    delayRestart(task, ending, now);
  } else if (ending === RunEnding.Done) {
    if (specification.gang) {
      task.step.tasks.forEach((member) => completeTask(state, member, now));
    } else {
      completeTask(state, task, now);
    }
    advanceOccurrence(state, occurrence, now);
  } else if (ending === RunEnding.Failed) {
    countFailure(state, end, now);
  }
}

function setCheckpoint(task: TaskRecord, checkpoint: string): void {
  // A checkpoint of any member is valid for the whole gang, and all members must carry the same one.
  const tasks = task.step.specification.gang ? task.step.tasks : [task];
  for (const member of tasks) {
    member.checkpoint = checkpoint;
  }
}

function delayRestart(task: TaskRecord, ending: RunEnding, now: Instant): void {
  if (ending === RunEnding.Failed || ending === RunEnding.Done) {
    task.failedRuns.push(task.lastRun);
    const delay = Math.min(RESTART_DELAY_MAXIMUM_MS, RESTART_DELAY_MS * task.failedRuns.length);
    task.eligibleAt = now + delay;
  }
}

function completeTask(state: CellState, task: TaskRecord, now: Instant): void {
  if (task.done) {
    return;
  }
  task.done = true;
  task.step.doneCount += 1;
  task.step.occurrence.remainingWork -= taskWork(task.step);
  task.step.waiting.delete(task);
  if (!task.step.specification.gang) {
    task.runs.forEach((run) => state.orderStop(run, now));
  }
  state.markDirty(task.step.occurrence);
}

function advanceOccurrence(state: CellState, occurrence: OccurrenceRecord, now: Instant): void {
  if (occurrence.steps.every((step) => step.doneCount === step.tasks.length)) {
    state.finishOccurrence(occurrence, JobState.Completed, now);
    return;
  }
  updateReadySteps(occurrence, now);
}

/** The same end may be reported again, to this scheduler or the next one, and counts once. */
function countFailure(state: CellState, { task, record, run }: TaskEnd, now: Instant): void {
  const { occurrence, specification } = task.step;
  if (task.failedRuns.includes(run)) {
    return;
  }
  const members = specification.gang ? task.step.tasks : [task];
  members.forEach(({ failedRuns }) => failedRuns.push(run));
  if (record !== null) {
    task.failedOn.add(record.vm.id);
  }
  state.markDirty(occurrence);
  if (task.failedRuns.length >= state.policyOf(occurrence.job).attemptsMaximum) {
    state.finishOccurrence(occurrence, JobState.Failed, now);
  }
}

/** Tasks of a ready step that may start now. */
export function startableTasks(step: StepRecord, now: Instant): TaskRecord[] {
  return [...step.waiting].filter((task) => task.eligibleAt <= now);
}
