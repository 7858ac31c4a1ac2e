/**
 * Follows the changes of a collection that is spread over the job partitions. When the store has discarded
 * the history since the last version, it reads all rows again.
 */
import { toError } from '@figjunction/errors';
import { Outage } from '@figjunction/logger';
import type { FeedRow } from '@figjunction/store';
import { sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import { AnswerTimes } from './answer-times.js';
import type { CellContext } from './cell-context.js';
import { readJobPartitions } from './cell-loader.js';
import type { CellCollection } from './cell-collections.js';

export interface CollectionWatchOptions {
  context: Pick<CellContext, 'store' | 'events' | 'clock'>;
  collection: CellCollection;
  afterVersion: number;
  onRows: (rows: FeedRow[]) => void;
  /** Called when all changes have been delivered that the store had until then. */
  onConfirmed?: (until: Instant) => void;
}

/** Long-poll timeout. A broken connection delays changes by at most this plus the timeout of the call. */
const WATCH_TIMEOUT_MS = 1_500;
const RETRY_DELAY_MS = 150;

export class CollectionWatch {
  private isStopped = false;

  private afterVersion: number;

  /** False until the store has answered since the start or the last failure. */
  private isConfirmed = false;

  private readonly answerTimes = new AnswerTimes();

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
    const sentAt = context.clock.now();
    // An answer at once tells sooner that nothing has been missed.
    const waitMs = this.isConfirmed ? WATCH_TIMEOUT_MS : 0;
    const change = await context.store.watch({ collection, afterVersion, waitMs });
    if (change.rows === null) {
      await this.readAll();
      return;
    }
    const { rows, version, storeMs } = change;
    const heldMs = rows.length === 0 ? waitMs : 0;
    const receivedAt = context.clock.now();
    this.deliver(rows, version, this.answerTimes.observe({ sentAt, receivedAt, heldMs, storeMs }));
  }

  private async readAll(): Promise<void> {
    const { context, collection } = this.options;
    context.events.write('history-gone', { collection, afterVersion: this.afterVersion });
    const sentAt = context.clock.now();
    const { rows, version } = await readJobPartitions(context.store, collection);
    this.answerTimes.reset();
    this.deliver(rows, version, sentAt);
  }

  private deliver(rows: FeedRow[], version: number, until: Instant): void {
    this.afterVersion = version;
    if (this.isStopped) {
      return;
    }
    if (rows.length > 0) {
      this.options.onRows(rows);
    }
    this.isConfirmed = true;
    this.options.onConfirmed?.(until);
  }
}
