/**
 * Cancels jobs. A cancellation is accepted once it is stored. It is stored also if there is no such job, because a
 * submission that is still on its way may store the job afterwards.
 */
import { toError } from '@figjunction/errors';
import { CellCollection, jobPartition } from '@figjunction/scheduler';
import type { JobId } from '@figjunction/types';
import type { GatewayContext } from './gateway-context.js';
import type { JobQueries } from './job-queries.js';

export class JobCancellation {
  constructor(
    private readonly context: GatewayContext,
    private readonly queries: Pick<JobQueries, 'readVersion'>,
  ) {}

  /**
   * Returns false when there is no such job yet; one that is stored later is cancelled. Throws when the store does
   * not confirm the write.
   */
  async cancel(jobId: JobId): Promise<boolean> {
    const { clock, events, metrics } = this.context;
    const arrivedAt = clock.now();
    const version = await this.storeRow(jobId);
    const storedMs = Math.round(clock.now() - arrivedAt);
    metrics.count('cancellations_total');
    const lookup = await this.lookUp(jobId);
    const tookMs = Math.round(clock.now() - arrivedAt);
    const isUnknown = lookup.jobVersion === null;
    events.write(isUnknown ? 'cancel-unknown-job' : 'cancel-stored', {
      job: jobId,
      version,
      ...lookup,
      storedMs,
      tookMs,
    });
    return !isUnknown;
  }

  /** Returns the version of the cancellation's row. */
  private async storeRow(jobId: JobId): Promise<number | null> {
    const { store, storeClock } = this.context;
    const requestedAtStoreMs = Math.floor(storeClock.earliest());
    const result = await store.write({
      partition: jobPartition(jobId),
      writes: [
        { collection: CellCollection.Cancellations, key: jobId, value: { requestedAtStoreMs } },
      ],
    });
    return result.committed ? result.version : null;
  }

  /**
   * The version of the job's row, null if there is none. It is undefined if the store does not answer: the
   * cancellation is in force all the same, and the caller need not repeat it.
   */
  private async lookUp(jobId: JobId): Promise<{ jobVersion?: number | null; error?: string }> {
    try {
      return { jobVersion: await this.queries.readVersion(jobId) };
    } catch (error) {
      return { error: toError(error).message };
    }
  }
}
