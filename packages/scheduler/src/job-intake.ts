/**
 * Brings accepted and cancelled jobs from the store into the tables of the cell.
 */
import {
  createJob,
  createOccurrence,
  isFinished,
  occurrenceCount,
  restoreProgress,
  updateReadySteps,
} from '@figjunction/scheduling';
import type { CellState, JobRecord, OccurrenceRecord } from '@figjunction/scheduling';
import type { FeedRow } from '@figjunction/store';
import type { Instant } from '@figjunction/time';
import { JobState } from '@figjunction/types';
import type { JobRow, ProgressRow } from '@figjunction/types';
import type { CellContext } from './cell-context.js';
import { parseProgressKey } from './cell-tables.js';

/** Run numbers of one scheduler are below this; the next scheduler starts above. */
const RUNS_OF_ONE_EPOCH = 1_000;

export interface JobIntakeOptions {
  context: CellContext;
  state: CellState;
  epoch: number;
}

export class JobIntake {
  /** Jobs that run at times and have occurrences to come. */
  private readonly scheduled = new Set<JobRecord>();

  /** Progress of jobs whose own row has not been read yet. */
  private readonly restored = new Map<string, Map<number, ProgressRow>>();

  /** Cancelled jobs whose own row has not been read yet. */
  private readonly cancelledAhead = new Set<string>();

  private readonly runFloor: number;

  constructor(private readonly options: JobIntakeOptions) {
    this.runFloor = (options.epoch - 1) * RUNS_OF_ONE_EPOCH;
  }

  keepProgress(rows: FeedRow<ProgressRow>[]): void {
    for (const { key, value } of rows) {
      if (value !== null) {
        const { jobId, occurrence } = parseProgressKey(key);
        const rowsOfJob = this.restored.get(jobId) ?? new Map<number, ProgressRow>();
        this.restored.set(jobId, rowsOfJob.set(occurrence, value));
      }
    }
  }

  /** Adds jobs that are not known yet. Those of an earlier scheduler are not logged again. */
  addJobs(rows: FeedRow<JobRow>[], inherited: boolean, now: Instant): void {
    const { state, context } = this.options;
    for (const { key, value } of rows) {
      if (value !== null && !state.jobs.has(key)) {
        const ageMs = Math.max(0, context.storeClock.earliest() - value.submittedAtStoreMs);
        const submittedAt = now - ageMs;
        const { policy, specification } = value;
        const job = createJob({ id: key, policy, specification, submittedAt });
        state.jobs.set(key, job);
        this.addOccurrences(job, now);
        if (this.cancelledAhead.delete(key)) {
          this.cancelJob(job, now);
        }
        if (!inherited) {
          const steps = specification.steps.length;
          context.events.write('job-admitted', {
            job: key,
            queue: policy.name,
            steps,
            ageMs: Math.round(ageMs),
          });
        }
      }
    }
  }

  cancelJobs(rows: FeedRow[], now: Instant): void {
    for (const { key, value } of rows) {
      const job = this.options.state.jobs.get(key);
      if (value !== null && job === undefined) {
        this.cancelledAhead.add(key);
      } else if (value !== null && job !== undefined && !job.cancelled) {
        this.cancelJob(job, now);
      }
    }
  }

  /** Makes the occurrences active whose time has come. */
  activateDue(now: Instant): void {
    for (const job of this.scheduled) {
      this.addDueOccurrences(job, now);
    }
  }

  private cancelJob(job: JobRecord, now: Instant): void {
    const { state, context } = this.options;
    job.cancelled = true;
    this.scheduled.delete(job);
    context.events.write('job-cancelled', { job: job.id, queue: job.policy.name });
    for (const occurrence of job.occurrences.values()) {
      if (!isFinished(occurrence.state)) {
        state.finishOccurrence(occurrence, JobState.Cancelled, now);
      }
    }
  }

  private addOccurrences(job: JobRecord, now: Instant): void {
    if (job.specification.occurrences === 0) {
      this.addOccurrence(job, 0, job.submittedAt, now);
      this.restored.delete(job.id);
    } else {
      this.scheduled.add(job);
      this.addDueOccurrences(job, now);
    }
  }

  private addDueOccurrences(job: JobRecord, now: Instant): void {
    const { firstDueWallMs, intervalMs } = job.specification;
    const wallMs = this.options.context.clock.wallTimeMs();
    for (let index = job.occurrences.size; index < occurrenceCount(job); index += 1) {
      const waitMs = firstDueWallMs + index * intervalMs - wallMs;
      if (waitMs > 0) {
        return;
      }
      this.addOccurrence(job, index, now + waitMs, now);
    }
    this.scheduled.delete(job);
  }

  private addOccurrence(job: JobRecord, index: number, dueAt: Instant, now: Instant): void {
    const { state } = this.options;
    const occurrence: OccurrenceRecord = createOccurrence(job, index, dueAt, this.runFloor);
    const row = this.restored.get(job.id)?.get(index);
    if (row !== undefined) {
      restoreProgress(occurrence, row);
    }
    if (!isFinished(occurrence.state)) {
      state.activate(occurrence);
      updateReadySteps(occurrence, now);
    }
  }
}
