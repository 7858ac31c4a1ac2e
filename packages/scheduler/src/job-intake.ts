/**
 * Adds accepted and cancelled jobs from the store to the tables of the cell.
 */
import { ErrorCode, toError } from '@figjunction/errors';
import {
  createJob,
  createOccurrence,
  findJobLimitViolation,
  holdOccurrence,
  isFinished,
  countOccurrences,
  restoreProgress,
  updateReadySteps,
} from '@figjunction/scheduling';
import type { CellState, JobRecord, OccurrenceRecord } from '@figjunction/scheduling';
import type { FeedRow } from '@figjunction/store';
import type { Instant } from '@figjunction/time';
import { JobState } from '@figjunction/types';
import type { JobId, JobRow, ProgressRow } from '@figjunction/types';
import { logCancellation } from './cancellation-log.js';
import type { CellContext } from './cell-context.js';
import { parseProgressKey } from './cell-collections.js';
import { markJobFinished } from './progress-batch.js';
import { SchedulerError } from './scheduler-error.js';
import { StoredCancellations } from './stored-cancellations.js';

/** Each epoch numbers its runs from its own range of this size, so that a later epoch uses higher numbers. */
const RUN_NUMBERS_PER_EPOCH = 1_000;

export interface JobIntakeOptions {
  context: CellContext;
  state: CellState;
  epoch: number;
}

interface NewJobRow {
  key: JobId;
  value: JobRow;
  version: number;
  /** True for a job that an earlier scheduler has admitted. */
  isInherited: boolean;
}

export class JobIntake {
  /** Jobs with a schedule that still have occurrences to create. */
  private readonly jobsWithFutureOccurrences = new Set<JobRecord>();

  /** Occurrences in the tables that are not due yet on the clock of this process; none of their tasks may start. */
  private readonly occurrencesBeforeDue = new Set<OccurrenceRecord>();

  /** Stored progress by job id and occurrence, used when the occurrence is created. */
  private readonly progressByJob = new Map<string, Map<number, ProgressRow>>();

  /**
   * Occurrences whose stored progress can't be read, by job id. Which of their tasks are done is unknown, and a done
   * task must not run again, so none of them is started.
   */
  private readonly occurrencesOnHold = new Map<JobId, Set<number>>();

  private readonly cancellations: StoredCancellations;

  private readonly runNumberBase: number;

  constructor(private readonly options: JobIntakeOptions) {
    this.cancellations = new StoredCancellations(options.context, options.state);
    this.runNumberBase = (options.epoch - 1) * RUN_NUMBERS_PER_EPOCH;
  }

  cacheProgress(rows: FeedRow<ProgressRow>[]): void {
    for (const { key, value } of rows) {
      if (value !== null) {
        const { jobId, occurrence } = parseProgressKey(key);
        const progressByOccurrence =
          this.progressByJob.get(jobId) ?? new Map<number, ProgressRow>();
        this.progressByJob.set(jobId, progressByOccurrence.set(occurrence, value));
      }
    }
  }

  /** Keeps the occurrences from starting whose progress, stored under these keys, can't be read. */
  holdOccurrences(keys: string[]): void {
    for (const key of keys) {
      const { jobId, occurrence } = parseProgressKey(key);
      const onHold = this.occurrencesOnHold.get(jobId) ?? new Set();
      this.occurrencesOnHold.set(jobId, onHold.add(occurrence));
    }
  }

  /** Adds jobs that are not in the tables yet. Jobs of an earlier epoch (`isInherited`) are not logged again. */
  addJobs(rows: FeedRow<JobRow>[], isInherited: boolean, now: Instant): void {
    const { state, context } = this.options;
    for (const { key, value, version } of rows) {
      // A list that was read before the removal of a job still contains it.
      const isRemoved = version < (state.removedJobs.get(key) ?? 0);
      if (value !== null && !state.jobs.has(key) && !isRemoved) {
        try {
          this.addJob({ key, value, version, isInherited }, now);
        } catch (error) {
          // One job that cannot be added must not keep the scheduler from the other jobs.
          this.forgetJob(key);
          const { message } = toError(error);
          context.events.write('job-unreadable', { job: key, error: message });
        }
      }
    }
  }

  private forgetJob(key: JobId): void {
    const { state } = this.options;
    const job = state.jobs.get(key);
    state.jobs.delete(key);
    if (job !== undefined) {
      this.jobsWithFutureOccurrences.delete(job);
      for (const occurrence of job.occurrences.values()) {
        state.active.delete(occurrence);
        state.dirty.delete(occurrence);
        this.occurrencesBeforeDue.delete(occurrence);
      }
    }
  }

  private addJob({ key, value, version, isInherited }: NewJobRow, now: Instant): void {
    const { state, context } = this.options;
    const ageMs = Math.max(0, context.storeClock.earliest() - value.submittedAtStoreMs);
    const { policy, specification } = value;
    const violation = findJobLimitViolation(specification);
    if (violation !== null) {
      throw new SchedulerError(violation, { code: ErrorCode.InvalidInput });
    }
    const job = createJob({ id: key, policy, specification, submittedAt: now - ageMs });
    state.jobs.set(key, job);
    this.addOccurrences(job, now);
    if (isInherited) {
      markJobFinished(job, now);
    } else {
      const steps = specification.steps.length;
      const fields = { job: key, queue: policy.name, steps, version, ageMs: Math.round(ageMs) };
      context.events.write('job-admitted', fields);
    }
    const cancellation = this.cancellations.find(key);
    if (cancellation !== null) {
      this.cancelJob(job, cancellation, now);
    }
  }

  /** Cancels the jobs of the rows, also those that are added later. */
  cancelJobs(rows: FeedRow[], now: Instant): void {
    this.cancellations.apply(rows, now);
    for (const row of rows) {
      const job = this.options.state.jobs.get(row.key);
      if (row.value !== null && job !== undefined && !job.cancelled) {
        this.cancelJob(job, row, now);
      }
    }
  }

  removeUnmatchedCancellations(now: Instant): void {
    this.cancellations.removeUnmatched(now);
  }

  /** Creates and activates the occurrences that are due. */
  activateDueOccurrences(now: Instant): void {
    for (const occurrence of this.occurrencesBeforeDue) {
      if (this.waitUntilDueMs(occurrence.job, occurrence.index) <= 0) {
        this.occurrencesBeforeDue.delete(occurrence);
        this.activateUnfinished(occurrence, now);
      }
    }
    for (const job of this.jobsWithFutureOccurrences) {
      this.addDueOccurrences(job, now);
    }
  }

  private cancelJob(job: JobRecord, cancellation: FeedRow, now: Instant): void {
    const { state, context } = this.options;
    const unfinished = [...job.occurrences.values()].filter((item) => !isFinished(item.state));
    job.cancelled = true;
    this.jobsWithFutureOccurrences.delete(job);
    logCancellation(context, job, cancellation, unfinished);
    for (const occurrence of unfinished) {
      state.finishOccurrence(occurrence, JobState.Cancelled, now);
    }
    if (unfinished.length === 0) {
      // No progress is left to store, after which the job would count as finished.
      markJobFinished(job, now);
    }
  }

  private addOccurrences(job: JobRecord, now: Instant): void {
    if (job.specification.occurrences === 0) {
      this.addOccurrence(job, 0, job.submittedAt, now);
      this.progressByJob.delete(job.id);
    } else {
      this.jobsWithFutureOccurrences.add(job);
      this.addDueOccurrences(job, now);
    }
  }

  /**
   * Creates the occurrences that are due and those that an earlier scheduler has begun. The clock of that scheduler
   * may have been ahead of the clock here, and ends and runs can only be applied to occurrences in the tables.
   */
  private addDueOccurrences(job: JobRecord, now: Instant): void {
    const lastBegun = Math.max(
      -1,
      ...(this.progressByJob.get(job.id)?.keys() ?? []),
      ...(this.occurrencesOnHold.get(job.id) ?? []),
    );
    for (let index = job.occurrences.size; index < countOccurrences(job); index += 1) {
      const waitMs = this.waitUntilDueMs(job, index);
      if (waitMs > 0 && index > lastBegun) {
        return;
      }
      this.addOccurrence(job, index, now + waitMs, now);
    }
    this.jobsWithFutureOccurrences.delete(job);
  }

  /** Time until the occurrence is due by the wall clock; not positive once it is due. */
  private waitUntilDueMs({ specification }: JobRecord, index: number): number {
    const { firstDueWallMs, intervalMs } = specification;
    return firstDueWallMs + index * intervalMs - this.options.context.clock.wallTimeMs();
  }

  private addOccurrence(job: JobRecord, index: number, dueAt: Instant, now: Instant): void {
    const occurrence: OccurrenceRecord = createOccurrence(job, index, dueAt, this.runNumberBase);
    const row = this.progressByJob.get(job.id)?.get(index);
    if (row !== undefined) {
      restoreProgress(occurrence, row);
    }
    if (this.occurrencesOnHold.get(job.id)?.has(index) === true) {
      this.options.context.events.write('occurrence-on-hold', { job: job.id, occurrence: index });
      holdOccurrence(occurrence);
      return;
    }
    if (dueAt > now) {
      this.occurrencesBeforeDue.add(occurrence);
    } else {
      this.activateUnfinished(occurrence, now);
    }
  }

  private activateUnfinished(occurrence: OccurrenceRecord, now: Instant): void {
    if (!isFinished(occurrence.state)) {
      this.options.state.activate(occurrence);
      updateReadySteps(occurrence, now);
    }
  }
}
