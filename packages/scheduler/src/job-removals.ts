/**
 * Removes the rows of finished jobs: first those of the gateways, then the progress, in as many transactions as it
 * takes. A job without its progress would start again, so its own row has to be gone first.
 */
import { toError } from '@figjunction/errors';
import type { CellState, JobRecord } from '@figjunction/scheduling';
import type { RowReference } from '@figjunction/store';
import type { JobId } from '@figjunction/types';
import type { CellContext } from './cell-context.js';
import { CellCollection, jobPartition } from './cell-collections.js';
import { progressRowsOf } from './progress-batch.js';

/** Jobs in removal at a time. Those that ended under an earlier scheduler are due at the same time. */
const REMOVALS_MAXIMUM = 16;
/** More than are removed while a list of all jobs is read; the oldest are dropped first. */
const REMEMBERED_JOBS_MAXIMUM = 10_000;

export class JobRemovals {
  /** Jobs in removal, from the first write until their progress rows are removed too. */
  private readonly jobs = new Set<JobRecord>();

  /** Progress rows that are left of jobs whose other rows are gone. */
  private readonly progressRows = new Map<JobRecord, RowReference[]>();

  constructor(
    private readonly context: Pick<CellContext, 'store' | 'events'>,
    private readonly state: Pick<CellState, 'jobs' | 'removedJobs'>,
  ) {}

  /** True once the row of the job is gone, so that no scheduler starts a task of it. */
  isRemoved(job: JobRecord): boolean {
    return this.progressRows.has(job) || this.state.jobs.get(job.id) !== job;
  }

  /** The rows of progress to remove next. */
  get rows(): RowReference[] {
    return [...this.progressRows.values()].flat();
  }

  /** Does nothing while enough jobs are in removal: the caller asks again. */
  begin(job: JobRecord): void {
    if (this.jobs.has(job) || this.jobs.size >= REMOVALS_MAXIMUM) {
      return;
    }
    this.jobs.add(job);
    const { store, events } = this.context;
    const removals = [CellCollection.Jobs, CellCollection.Cancellations].map((collection) => ({
      collection,
      key: job.id,
    }));
    store.write({ partition: jobPartition(job.id), removals }).then(
      (result) => {
        if (result.committed) {
          this.rememberRemoval(job.id, result.version);
        }
        this.removeProgress(job, progressRowsOf(job));
      },
      (error: unknown) => {
        this.jobs.delete(job);
        this.moveToEnd(job);
        events.write('job-not-removed', { job: job.id, error: toError(error).message });
      },
    );
  }

  /** Forgets the jobs of which these were the last rows. */
  recordRemoved(removals: RowReference[]): void {
    const removed = new Set(removals.map(({ key }) => key));
    for (const [job, rows] of removed.size === 0 ? [] : this.progressRows) {
      const rest = rows.filter(({ key }) => !removed.has(key));
      this.removeProgress(job, rest);
    }
  }

  /** Lets the other jobs have their turn before this one is tried again. */
  private moveToEnd(job: JobRecord): void {
    const { jobs } = this.state;
    if (jobs.delete(job.id)) {
      jobs.set(job.id, job);
    }
  }

  private rememberRemoval(jobId: JobId, version: number): void {
    const { removedJobs } = this.state;
    removedJobs.delete(jobId);
    removedJobs.set(jobId, version);
    const [oldest = jobId] = removedJobs.keys();
    if (removedJobs.size > REMEMBERED_JOBS_MAXIMUM) {
      removedJobs.delete(oldest);
    }
  }

  /** Keeps the rows for the next transactions, and forgets the job if there are none. */
  private removeProgress(job: JobRecord, rows: RowReference[]): void {
    if (rows.length > 0) {
      this.progressRows.set(job, rows);
      return;
    }
    this.progressRows.delete(job);
    this.jobs.delete(job);
    this.state.jobs.delete(job.id);
  }
}
