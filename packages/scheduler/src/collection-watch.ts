/**
 * Follows the changes of a collection that is spread over the job partitions. When the store has discarded
 * the history since the last version, it reads all rows again.
 */
import { toError } from '@figjunction/errors';
import { Outage } from '@figjunction/logger';
import type { FeedRow } from '@figjunction/store';
import { sleep } from '@figjunction/time';
import type { CellContext } from './cell-context.js';
import { readJobPartitions } from './cell-loader.js';
import type { CellCollection } from './cell-collections.js';

export interface CollectionWatchOptions {
  context: Pick<CellContext, 'store' | 'events'>;
  collection: CellCollection;
  afterVersion: number;
  onRows: (rows: FeedRow[]) => void;
  /** Called when the store has answered and all changes so far have been delivered. */
  onConfirmed?: () => void;
}

/** Long-poll timeout. A broken connection delays changes by at most this plus the timeout of the call. */
const WATCH_TIMEOUT_MS = 1_500;
const RETRY_DELAY_MS = 150;

export class CollectionWatch {
  private isStopped = false;

  private afterVersion: number;

  /** False until the store has answered since the start or the last failure. */
  private isConfirmed = false;

  private readonly outage = new Outage();

  constructor(private readonly options: CollectionWatchOptions) {
    this.afterVersion = options.afterVersion;
  }

  async run(): Promise<void> {
    const { context, collection } = this.options;
    const { events } = context;
    while (!this.isStopped) {
      try {
        await this.pollOnce();
        this.outage.end(() => events.write('watch-regained', { collection }));
      } catch (error) {
        const { message } = toError(error);
        this.isConfirmed = false;
        this.outage.begin(() => events.write('watch-lost', { collection, error: message }));
        await sleep(RETRY_DELAY_MS);
      }
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private async pollOnce(): Promise<void> {
    const { context, collection } = this.options;
    const { afterVersion } = this;
    const change = await context.store.watch({
      collection,
      afterVersion,
      // An answer at once tells sooner that nothing has been missed.
      waitMs: this.isConfirmed ? WATCH_TIMEOUT_MS : 0,
    });
    if (change.rows !== null) {
      this.deliver(change.rows, change.version);
      return;
    }
    context.events.write('history-gone', { collection, afterVersion });
    const snapshot = await readJobPartitions(context.store, collection);
    this.deliver(snapshot.rows, snapshot.version);
  }

  private deliver(rows: FeedRow[], version: number): void {
    this.afterVersion = version;
    if (this.isStopped) {
      return;
    }
    if (rows.length > 0) {
      this.options.onRows(rows);
    }
    this.isConfirmed = true;
    this.options.onConfirmed?.();
  }
}
