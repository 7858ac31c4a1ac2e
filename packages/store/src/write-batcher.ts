/**
 * Batches conditional writes of single rows into few transactions. When a response is lost, the batcher reads
 * the rows and compares write ids to find out whether the transaction committed. Writes that failed
 * temporarily without effect are retried until their deadline, within a retry budget. A write is reported as
 * applied or not applied only when the table confirms it.
 */
import { toError } from '@figjunction/errors';
import { hasPassed, sleep } from '@figjunction/time';
import type { Clock, Instant, RandomSource } from '@figjunction/time';
import { Backoff } from './backoff.js';
import { isRetryable, toPlatformError } from './platform-error.js';
import { RetryBudget } from './retry-budget.js';
import type { TableService } from './table-service.js';
import { buildTransaction, createWriteItem } from './write-item.js';
import type { WriteItem, WriteOutcome, WriteRequest } from './write-item.js';
import {
  ItemOutcome,
  TransactionOutcome,
  determineOutcomes,
  readCurrentRows,
} from './write-resolution.js';
import type { UnresolvedTransaction } from './write-resolution.js';
import { selectItems } from './write-selection.js';
import {
  createDeadlineError,
  rejectItem,
  settleCommitted,
  settleItem,
} from './write-settlement.js';

export interface WriteBatcherOptions {
  table: TableService;
  clock: Clock;
  random: RandomSource;
  /** Minimum time between the starts of two transactions. */
  intervalMs?: number;
  /** Maximum number of rows in one transaction. */
  itemsMaximum?: number;
  retryBudget?: RetryBudget;
  backoff?: Backoff;
  /** Called after each transaction with the number of its rows, for metrics. */
  onTransaction?: (outcome: TransactionOutcome, rows: number) => void;
}

const DEFAULT_INTERVAL_MS = 100;
const DEFAULT_ITEMS_MAXIMUM = 64;

/** Allows some retries without any success, so that the end of an outage is detected. */
const MINIMUM_RETRIES_PER_SECOND = 0.5;

const DRAIN_PAUSE_MS = 10;

export class WriteBatcher {
  private readonly table: TableService;

  private readonly clock: Clock;

  private readonly intervalMs: number;

  private readonly itemsMaximum: number;

  private readonly retryBudget: RetryBudget;

  private readonly backoff: Backoff;

  private readonly onTransaction: (outcome: TransactionOutcome, rows: number) => void;

  /** Unsettled items, oldest first. */
  private queue: WriteItem[] = [];

  private itemsInFlight: WriteItem[] = [];

  /** The last transaction, while the outcomes of its items have to be read from the table. */
  private unresolvedTransaction: UnresolvedTransaction | null = null;

  /** Earliest start of the next transaction. */
  private nextStartAt: Instant;

  private currentCycle: Promise<void> | null = null;

  constructor(options: WriteBatcherOptions) {
    const { table, clock, random, onTransaction = () => {} } = options;
    this.table = table;
    this.clock = clock;
    this.intervalMs = options.intervalMs ?? DEFAULT_INTERVAL_MS;
    this.itemsMaximum = options.itemsMaximum ?? DEFAULT_ITEMS_MAXIMUM;
    this.retryBudget =
      options.retryBudget ??
      new RetryBudget({ clock, minimumPerSecond: MINIMUM_RETRIES_PER_SECOND });
    this.backoff = options.backoff ?? new Backoff({ random });
    this.onTransaction = onTransaction;
    this.nextStartAt = clock.now();
  }

  /** Number of submissions that are not settled yet. */
  get pendingCount(): number {
    return this.queue.length;
  }

  /**
   * Resolves when the write was applied or a version did not match. Throws a `PlatformError` when the write is
   * invalid, its outcome cannot be determined or its deadline passes: with `ErrorCode.OutcomeUnknown` the
   * write may have taken effect or may still do so, with any other code it had no effect.
   */
  submit(request: WriteRequest): Promise<WriteOutcome> {
    return new Promise((resolve, reject) => {
      this.queue.push(createWriteItem(request, resolve, reject));
    });
  }

  /**
   * Starts the next transaction when one is due, without waiting for the table. Only one transaction is in
   * flight at a time; a call in the meantime only rejects the items whose deadline has passed.
   */
  flush(now: Instant): Promise<void> {
    this.rejectExpiredItems();
    if (this.currentCycle === null && this.queue.length > 0 && now >= this.nextStartAt) {
      this.startCycle(now);
    }
    return Promise.resolve();
  }

  /** Waits until the current transaction, if any, has been handled. */
  async waitForCurrentCycle(): Promise<void> {
    await this.currentCycle;
  }

  /** Flushes until all submissions are settled or the deadline passes; for a graceful shutdown. */
  async drain(deadline: Instant): Promise<void> {
    while (this.queue.length > 0 && !hasPassed(this.clock, deadline)) {
      await this.flush(this.clock.now());
      await this.waitForCurrentCycle();
      await sleep(DRAIN_PAUSE_MS);
    }
  }

  private startCycle(now: Instant): void {
    if (this.backoff.isBackingOff && !this.retryBudget.tryConsume()) {
      this.nextStartAt = now + this.backoff.nextDelayMs();
      return;
    }
    this.nextStartAt = now + this.intervalMs;
    this.currentCycle = this.runCycle()
      .catch((error: unknown) => this.delayNextCycle(toError(error)))
      .finally(() => {
        this.currentCycle = null;
        this.removeSettledItems();
      });
  }

  private async runCycle(): Promise<void> {
    if (this.unresolvedTransaction !== null) {
      await this.resolveTransaction(this.unresolvedTransaction);
    }
    this.itemsInFlight = selectItems(this.queue, this.itemsMaximum);
    if (this.itemsInFlight.length > 0) {
      await this.send(this.itemsInFlight);
    }
  }

  private async send(items: WriteItem[]): Promise<void> {
    try {
      const result = await this.table.transact(buildTransaction(items));
      if (result.committed) {
        this.onTransaction(TransactionOutcome.Committed, items.length);
        items.forEach((item, index) => settleCommitted(item, result.versions[index]));
        this.recordSuccess();
      } else {
        this.onTransaction(TransactionOutcome.Conflict, items.length);
        this.unresolvedTransaction = { items, outcome: TransactionOutcome.Conflict };
        this.recordSuccess();
      }
    } catch (error) {
      this.handleFailure(items, toError(error));
    }
    this.itemsInFlight = [];
    if (this.unresolvedTransaction !== null) {
      await this.resolveTransaction(this.unresolvedTransaction);
    }
  }

  private handleFailure(items: WriteItem[], thrown: Error): void {
    const error = toPlatformError(thrown);
    items.forEach((item) => {
      item.lastError = error;
    });
    if (!error.hasNoEffect) {
      this.onTransaction(TransactionOutcome.ResponseLost, items.length);
      this.unresolvedTransaction = { items, outcome: TransactionOutcome.ResponseLost };
      this.delayNextCycle(error);
      return;
    }
    this.onTransaction(TransactionOutcome.Rejected, items.length);
    if (isRetryable(error)) {
      this.delayNextCycle(error);
    } else if (items.length === 1) {
      items.forEach((item) => rejectItem(item, error));
    } else {
      items.forEach((item) => {
        item.isSentAlone = true;
      });
    }
  }

  private async resolveTransaction(transaction: UnresolvedTransaction): Promise<void> {
    const { items } = transaction;
    const rows = await readCurrentRows(this.table, items);
    this.unresolvedTransaction = null;
    const outcomes = determineOutcomes(transaction, rows);
    items.forEach((item, index) => settleItem(item, outcomes[index] ?? ItemOutcome.Pending, rows));
    this.removeSettledItems();
  }

  private recordSuccess(): void {
    this.backoff.reset();
    this.retryBudget.recordSuccess();
  }

  private delayNextCycle(cause: Error): void {
    const error = toPlatformError(cause);
    this.queue.forEach((item) => {
      item.lastError = error;
    });
    const delayMs = Math.max(this.intervalMs, this.backoff.nextDelayMs());
    this.nextStartAt = this.clock.now() + delayMs;
  }

  /** Rejects items whose deadline has passed, including those in the current transaction. */
  private rejectExpiredItems(): void {
    const uncertain = new Set([...this.itemsInFlight, ...(this.itemsWithLostResponse() ?? [])]);
    for (const item of this.queue) {
      if (!item.isSettled && hasPassed(this.clock, item.deadline)) {
        rejectItem(item, createDeadlineError(item, item.mayHaveCommitted || uncertain.has(item)));
      }
    }
    this.removeSettledItems();
  }

  private itemsWithLostResponse(): WriteItem[] | null {
    const transaction = this.unresolvedTransaction;
    return transaction?.outcome === TransactionOutcome.ResponseLost ? transaction.items : null;
  }

  private removeSettledItems(): void {
    this.queue = this.queue.filter((item) => !item.isSettled);
  }
}
