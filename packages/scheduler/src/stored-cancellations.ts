/**
 * The cancellations in the store. One may be stored before the row of its job, or without any job. Such a row is
 * removed after the time for which finished jobs are kept. Nothing stores the job's row as late as that: a gateway
 * and a caller repeat a submission for seconds, and the store carries out a write without a response within seconds.
 * A repetition later than that would create a new job also after a job that has ended.
 */
import { toError } from '@figjunction/errors';
import type { CellState } from '@figjunction/scheduling';
import type { FeedRow } from '@figjunction/store';
import type { Instant } from '@figjunction/time';
import type { JobId } from '@figjunction/types';
import type { CellContext } from './cell-context.js';
import { CellCollection, jobPartition } from './cell-collections.js';

interface StoredCancellation {
  row: FeedRow;
  /** When the row was read, the job was last in the tables, or the last removal was tried. */
  unmatchedSince: Instant;
}

/** Keeps the removals after a take-over, which are due at the same time, from holding other writes up. */
const REMOVALS_PER_ROUND_MAXIMUM = 4;

export class StoredCancellations {
  private readonly cancellations = new Map<JobId, StoredCancellation>();

  constructor(
    private readonly context: Pick<CellContext, 'store' | 'events' | 'finishedJobRetentionMs'>,
    private readonly state: Pick<CellState, 'jobs'>,
  ) {}

  /** Returns the row that cancels the job; null if there is none. */
  find(jobId: JobId): FeedRow | null {
    return this.cancellations.get(jobId)?.row ?? null;
  }

  apply(rows: FeedRow[], now: Instant): void {
    for (const row of rows) {
      if (row.value === null) {
        this.cancellations.delete(row.key);
      } else {
        this.cancellations.set(row.key, { row, unmatchedSince: now });
      }
    }
  }

  /** Removes rows without a job. The rows of jobs in the tables are removed together with these jobs. */
  removeUnmatched(now: Instant): void {
    const { finishedJobRetentionMs } = this.context;
    let removals = 0;
    for (const [jobId, cancellation] of this.cancellations) {
      if (this.state.jobs.has(jobId)) {
        cancellation.unmatchedSince = now;
      } else if (
        now - cancellation.unmatchedSince > finishedJobRetentionMs &&
        removals < REMOVALS_PER_ROUND_MAXIMUM
      ) {
        removals += 1;
        // A removal that fails is repeated after the same time.
        cancellation.unmatchedSince = now;
        this.remove(jobId, cancellation);
      }
    }
  }

  /** The row stays if the job is in the store, where the watch may not have found it yet. */
  private remove(jobId: JobId, cancellation: StoredCancellation): void {
    const { store, events } = this.context;
    const { version } = cancellation.row;
    const row = { collection: CellCollection.Cancellations, key: jobId };
    const expected = [
      { collection: CellCollection.Jobs, key: jobId, version: 0 },
      { ...row, version },
    ];
    store.write({ partition: jobPartition(jobId), expected, removals: [row] }).then(
      (result) => {
        const isGone = result.committed || result.current.every(({ value }) => value === null);
        if (isGone && this.cancellations.get(jobId) === cancellation) {
          this.cancellations.delete(jobId);
          events.write('cancellation-removed', { job: jobId, version });
        }
      },
      (error: unknown) => {
        const { message } = toError(error);
        events.write('cancellation-not-removed', { job: jobId, version, error: message });
      },
    );
  }
}
