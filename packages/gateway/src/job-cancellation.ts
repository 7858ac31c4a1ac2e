/**
 * Cancels jobs. A cancellation is accepted once it is stored.
 */
import { CellCollection, jobPartition } from '@figjunction/scheduler';
import type { JobId } from '@figjunction/types';
import type { GatewayContext } from './gateway-context.js';
import type { JobQueries } from './job-queries.js';

export class JobCancellation {
  constructor(
    private readonly context: GatewayContext,
    private readonly queries: JobQueries,
  ) {}

  /** Returns false when no such job exists. Throws when the store does not confirm the write. */
  async cancel(jobId: JobId): Promise<boolean> {
    const { store, storeClock, events, metrics } = this.context;
    if (!(await this.queries.exists(jobId))) {
      events.write('cancel-unknown-job', { job: jobId });
      return false;
    }
    const requestedAtStoreMs = Math.floor(storeClock.earliest());
    await store.write({
      partition: jobPartition(jobId),
      writes: [
        { collection: CellCollection.Cancellations, key: jobId, value: { requestedAtStoreMs } },
      ],
    });
    metrics.count('cancellations_total');
    events.write('cancel-stored', { job: jobId });
    return true;
  }
}
