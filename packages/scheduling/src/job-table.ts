/**
 * Creates the records of jobs and derives their states.
 */
import type { Instant } from '@figjunction/time';
import { JobState } from '@figjunction/types';
import type { AgentId, JobId, JobSpecification, QueuePolicy } from '@figjunction/types';
import type { JobRecord, OccurrenceRecord, StepRecord, TaskRecord } from './records.js';
import { updateEstimates } from './work-estimates.js';

export interface NewJob {
  id: JobId;
  policy: QueuePolicy;
  specification: JobSpecification;
  submittedAt: Instant;
}

export function createJob(options: NewJob): JobRecord {
  return { ...options, occurrences: new Map(), cancelled: false, finishedAt: null };
}

/**
 * Creates an occurrence and adds it to its job. Run numbers start above `runNumberBase`, so that they are
 * higher than the numbers that earlier schedulers assigned.
 */
export function createOccurrence(
  job: JobRecord,
  index: number,
  dueAt: Instant,
  runNumberBase: number,
): OccurrenceRecord {
  const occurrence: OccurrenceRecord = {
    job,
    index,
    dueAt,
    steps: [],
    state: JobState.Queued,
    storedState: null,
    storedVms: new Set(),
    isHeld: false,
    lastChange: 0,
    storedChange: 0,
    hasBegun: false,
    runCount: 0,
    work: 0,
  };
  occurrence.steps = job.specification.steps.map((specification, stepIndex) => {
    const step: StepRecord = {
      index: stepIndex,
      occurrence,
      specification,
      tasks: [],
      doneCount: 0,
      waiting: new Set(),
      ready: false,
      taskMs: specification.estimateMs,
      observed: { tasks: 0, durationMs: 0 },
      criticalPathMs: 0,
      advice: { answers: new Map(), calls: 0, calledAt: null },
      searchedAt: Number.NEGATIVE_INFINITY,
    };
    step.tasks = Array.from({ length: specification.taskCount }, (_, taskIndex) =>
      createTask(step, taskIndex, dueAt, runNumberBase),
    );
    step.waiting = new Set(step.tasks);
    return step;
  });
  updateEstimates(occurrence);
  job.occurrences.set(index, occurrence);
  return occurrence;
}

function createTask(
  step: StepRecord,
  index: number,
  eligibleAt: Instant,
  runNumberBase: number,
): TaskRecord {
  const { occurrence } = step;
  return {
    id: `${occurrence.job.id}.${occurrence.index}.${step.index}.${index}`,
    index,
    step,
    done: false,
    failedRuns: [],
    crashes: [],
    checkpoint: '',
    hasRun: false,
    highestRunNumber: runNumberBase,
    runs: [],
    refusals: 0,
    eligibleAt,
    waitingSince: eligibleAt,
    relocatedAt: Number.NEGATIVE_INFINITY,
    failedVms: new Set(),
  };
}

/** Marks an occurrence whose stored row can't be read: none of its tasks starts, under any scheduler. */
export function holdOccurrence(occurrence: OccurrenceRecord): void {
  occurrence.hasBegun = true;
  occurrence.isHeld = true;
  occurrence.storedChange = Number.POSITIVE_INFINITY;
}

export function isFinished(state: JobState): boolean {
  return state === JobState.Completed || state === JobState.Failed || state === JobState.Cancelled;
}

/**
 * The state that callers are shown. A final state is shown only once it is stored. A job that may run on a VM that has
 * not reported yet counts as running: callers may have seen that.
 */
export function deriveVisibleState(
  job: JobRecord,
  unreportedVms: ReadonlyMap<AgentId, unknown>,
): JobState {
  if (job.cancelled) {
    return areAllStoredAs(job, JobState.Completed) ? JobState.Completed : JobState.Cancelled;
  }
  const occurrences = [...job.occurrences.values()];
  if (occurrences.some(({ storedState }) => storedState === JobState.Failed)) {
    return JobState.Failed;
  }
  if (areAllStoredAs(job, JobState.Completed)) {
    return JobState.Completed;
  }
  const mayRun = ({ hasBegun, storedVms }: OccurrenceRecord): boolean =>
    hasBegun || [...storedVms].some((id) => unreportedVms.has(id));
  return occurrences.some(mayRun) ? JobState.Running : JobState.Queued;
}

/** True for an accepted job that is not known to have begun, and that may still begin. */
export function isPending({ occurrences, cancelled, finishedAt }: JobRecord): boolean {
  const hasNothingBegun = [...occurrences.values()].every(
    ({ hasBegun, state }) => !hasBegun && !isFinished(state),
  );
  return hasNothingBegun && !cancelled && finishedAt === null;
}

/** The number of occurrences of a job; 0 in the specification means a single one. */
export function countOccurrences(job: JobRecord): number {
  return Math.max(1, job.specification.occurrences);
}

function areAllStoredAs(job: JobRecord, state: JobState): boolean {
  return (
    job.occurrences.size === countOccurrences(job) &&
    [...job.occurrences.values()].every(({ storedState }) => storedState === state)
  );
}
