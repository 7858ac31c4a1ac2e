/**
 * Advances occurrences: marks steps as ready, applies the ends of runs, and finishes occurrences.
 */
import type { Instant } from '@figjunction/time';
import { JobState, RunEnding } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import { isFinished } from './job-table.js';
import type { OccurrenceRecord, RunRecord, StepRecord, TaskRecord } from './records.js';
import { observeCompletion } from './work-estimates.js';

/** A long-running task that ended restarts after this delay, multiplied by the number of its ends. */
const RESTART_DELAY_MS = 100;
const RESTART_DELAY_MAXIMUM_MS = 1_000;
/** Earlier failures of a long-running task make no difference to the delay, and the stored row must stay small. */
const REMEMBERED_FAILURES_MAXIMUM = RESTART_DELAY_MAXIMUM_MS / RESTART_DELAY_MS;

/** A task that VMs refuse more often in a row than this starts again after a delay, which grows. */
const UNDELAYED_REFUSALS = 2;
const REFUSED_DELAY_MS = 100;
const REFUSED_DELAY_FACTOR = 2;
const REFUSED_DELAY_MAXIMUM_MS = 1_000;

/** The reported end of a run. */
export interface TaskEnd {
  /** Number of the end on its VM. */
  sequence: number;
  task: TaskRecord;
  /** The run in the tables; null when it is not there, as for a run of an earlier scheduler. */
  record: RunRecord | null;
  run: number;
  ending: RunEnding;
  checkpoint: string;
}

/** Marks steps as ready when all steps that they depend on are done. */
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

/** Applies the end of a run to its task, step and occurrence. */
export function applyEnd(state: CellState, end: TaskEnd, now: Instant): void {
  const { task, record, run, ending, checkpoint } = end;
  // The end of an earlier run may be told while a later one works on from a later checkpoint.
  const isLatest = task.runs.every((other) => other.run <= run);
  if (checkpoint !== '' && isLatest) {
    setCheckpoint(task, checkpoint);
  }
  if (record !== null) {
    if (ending === RunEnding.Done) {
      observeCompletion(record, now);
    }
    state.removeRun(record, now);
  }
  const { occurrence, specification } = task.step;
  occurrence.hasBegun = true;
  if (task.done || isFinished(occurrence.state)) {
    return;
  }
  if (specification.longRunning) {
    delayRestart(task, ending, now);
  } else if (ending === RunEnding.Done) {
    if (specification.gang) {
      task.step.tasks.forEach((member) => completeTask(state, member, run, now));
    } else {
      completeTask(state, task, run, now);
    }
    advanceOccurrence(state, occurrence, now);
  } else if (ending === RunEnding.Failed) {
    countFailure(state, end, now);
  }
}

/** A checkpoint of any member is valid for the whole gang, and all members must restart from the same one. */
export function setCheckpoint(task: TaskRecord, checkpoint: string): void {
  const tasks = task.step.specification.gang ? task.step.tasks : [task];
  for (const member of tasks) {
    member.checkpoint = checkpoint;
  }
}

function delayRestart(task: TaskRecord, ending: RunEnding, now: Instant): void {
  if (ending === RunEnding.Failed || ending === RunEnding.Done) {
    const failedRuns = [...task.failedRuns, task.highestRunNumber];
    task.failedRuns = failedRuns.slice(-REMEMBERED_FAILURES_MAXIMUM);
    const delay = Math.min(RESTART_DELAY_MAXIMUM_MS, RESTART_DELAY_MS * task.failedRuns.length);
    task.eligibleAt = now + delay;
  }
}

/** Delays a task that VM after VM refuses, so that it takes no room and calls from others meanwhile. */
export function delayAfterRefusal(task: TaskRecord, now: Instant): void {
  task.refusals += 1;
  const delayed = task.refusals - UNDELAYED_REFUSALS;
  if (delayed > 0) {
    const delayMs = REFUSED_DELAY_MS * REFUSED_DELAY_FACTOR ** (delayed - 1);
    task.eligibleAt = now + Math.min(REFUSED_DELAY_MAXIMUM_MS, delayMs);
  }
}

/** Marks the task as done by this run, and stops its others. The other members of a gang run end by themselves. */
function completeTask(state: CellState, task: TaskRecord, doneRun: number, now: Instant): void {
  if (task.done) {
    return;
  }
  task.done = true;
  task.step.doneCount += 1;
  task.step.waiting.delete(task);
  task.runs.filter(({ run }) => run !== doneRun).forEach((record) => state.orderStop(record, now));
  state.markDirty(task.step.occurrence);
}

function advanceOccurrence(state: CellState, occurrence: OccurrenceRecord, now: Instant): void {
  if (occurrence.steps.every((step) => step.doneCount === step.tasks.length)) {
    state.finishOccurrence(occurrence, JobState.Completed, now);
    return;
  }
  updateReadySteps(occurrence, now);
}

/** Counts each failed run once, although its end may be reported again to this or a later scheduler. */
function countFailure(state: CellState, { task, record, run }: TaskEnd, now: Instant): void {
  const { occurrence, specification } = task.step;
  if (task.failedRuns.includes(run)) {
    return;
  }
  const members = specification.gang ? task.step.tasks : [task];
  members.forEach(({ failedRuns }) => failedRuns.push(run));
  if (record !== null) {
    task.failedVms.add(record.vm.id);
  }
  state.markDirty(occurrence);
  if (task.failedRuns.length >= state.getPolicy(occurrence.job).attemptsMaximum) {
    state.finishOccurrence(occurrence, JobState.Failed, now);
  }
}

/** Waiting tasks of a ready step whose restart delay has passed; those that have run before come first. */
export function findStartableTasks(step: StepRecord, now: Instant): TaskRecord[] {
  const startable = [...step.waiting].filter((task) => task.eligibleAt <= now);
  return startable.sort((left, right) => Number(right.hasRun) - Number(left.hasRun));
}
