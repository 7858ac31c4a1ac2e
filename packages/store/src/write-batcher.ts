/**
 * Gathers conditional writes of many rows into few transactions. A write whose answer was lost is settled
 * by the row's write id; one that was refused without effect is retried under a budget until its
 * deadline. Nothing is reported as done or not done unless the table has shown it.
 */
import { toError } from '@figjunction/errors';
import { hasPassed, sleep } from '@figjunction/time';
import type { Clock, Instant, RandomSource } from '@figjunction/time';
import { Backoff } from './backoff.js';
import { isTemporary, toPlatformError } from './platform-error.js';
import { RetryBudget } from './retry-budget.js';
import type { TableService } from './table-service.js';
import { createItem, transactionOf } from './write-item.js';
import type { WriteItem, WriteOutcome, WriteRequest } from './write-item.js';
import { ItemFate, TransactionEnding, fatesOf, readCurrentRows } from './write-resolution.js';
import type { UnsettledTransaction } from './write-resolution.js';
import { selectItems } from './write-selection.js';
import { deadlineError, fail, settleByFate, settleCommitted } from './write-settlement.js';

export interface WriteBatcherOptions {
  table: TableService;
  clock: Clock;
  random: RandomSource;
  /** Time between the starts of two transactions at least. */
  intervalMs?: number;
  /** Rows in one transaction at most. */
  itemsMaximum?: number;
  retryBudget?: RetryBudget;
  backoff?: Backoff;
  /** Called after each transaction, for counters. */
  onTransaction?: (ending: TransactionEnding, rows: number) => void;
}

const DEFAULT_INTERVAL_MS = 100;
const DEFAULT_ITEMS_MAXIMUM = 64;

/** Retries without any success, so that the end of an outage is noticed. */
const MINIMUM_RETRIES_PER_SECOND = 0.5;

const DRAIN_PAUSE_MS = 10;

export class WriteBatcher {
  private readonly table: TableService;

  private readonly clock: Clock;

  private readonly intervalMs: number;

  private readonly itemsMaximum: number;

  private readonly budget: RetryBudget;

  private readonly backoff: Backoff;

  private readonly onTransaction: (ending: TransactionEnding, rows: number) => void;

  /** Oldest first; an item stays here until it is settled. */
  private queue: WriteItem[] = [];

  private sent: WriteItem[] = [];

  private unsettled: UnsettledTransaction | null = null;

  private nextStart: Instant;

  private cycle: Promise<void> | null = null;

  constructor(options: WriteBatcherOptions) {
    const { table, clock, random, onTransaction = () => {} } = options;
    this.table = table;
    this.clock = clock;
    this.intervalMs = options.intervalMs ?? DEFAULT_INTERVAL_MS;
    this.itemsMaximum = options.itemsMaximum ?? DEFAULT_ITEMS_MAXIMUM;
    this.budget =
      options.retryBudget ??
      new RetryBudget({ clock, minimumPerSecond: MINIMUM_RETRIES_PER_SECOND });
    this.backoff = options.backoff ?? new Backoff({ random });
    this.onTransaction = onTransaction;
    this.nextStart = clock.now();
  }

  /** Submissions that are not settled yet. */
  get pending(): number {
    return this.queue.length;
  }

  /**
   * Settles when the write was applied, when another version stood in its way, or at the deadline with a
   * `PlatformError`. With `ErrorCode.OutcomeUnknown` the write may have taken effect or may do so later;
   * any other code means that it had no effect.
   */
  submit(request: WriteRequest): Promise<WriteOutcome> {
    return new Promise((resolve, reject) => {
      this.queue.push(createItem(request, resolve, reject));
    });
  }

  /**
   * Starts the next transaction when one is due. Never waits for the table: one flush is in flight at a
   * time, and a call during it only settles what is past its deadline.
   */
  flush(now: Instant): Promise<void> {
    this.expire();
    if (this.cycle === null && this.queue.length > 0 && now >= this.nextStart) {
      this.startCycle(now);
    }
    return Promise.resolve();
  }

  /** Waits for the flush in flight. */
  async settled(): Promise<void> {
    await this.cycle;
  }

  /** Flushes until every submission is settled, at most until the deadline; for a graceful stop. */
  async drain(deadline: Instant): Promise<void> {
    while (this.queue.length > 0 && !hasPassed(this.clock, deadline)) {
      await this.flush(this.clock.now());
      await this.settled();
      await sleep(DRAIN_PAUSE_MS);
    }
  }

  private startCycle(now: Instant): void {
    if (this.backoff.isBackingOff && !this.budget.take()) {
      this.nextStart = now + this.backoff.nextMs();
      return;
    }
    this.nextStart = now + this.intervalMs;
    this.cycle = this.runCycle()
      .catch((error: unknown) => this.backOff(toError(error)))
      .finally(() => {
        this.cycle = null;
        this.dropSettled();
      });
  }

  private async runCycle(): Promise<void> {
    if (this.unsettled !== null) {
      await this.resolveUnsettled(this.unsettled);
    }
    this.sent = selectItems(this.queue, this.itemsMaximum);
    if (this.sent.length > 0) {
      await this.send(this.sent);
    }
  }

  private async send(items: WriteItem[]): Promise<void> {
    try {
      const result = await this.table.transact(transactionOf(items));
      if (result.committed) {
        this.onTransaction(TransactionEnding.Committed, items.length);
        items.forEach((item, index) => settleCommitted(item, result.versions[index]));
        this.succeed();
      } else {
        this.onTransaction(TransactionEnding.Conflict, items.length);
        this.unsettled = { items, ending: TransactionEnding.Conflict };
        this.succeed();
      }
    } catch (error) {
      this.handleFailure(items, toError(error));
    }
    this.sent = [];
    if (this.unsettled !== null) {
      await this.resolveUnsettled(this.unsettled);
    }
  }

  private handleFailure(items: WriteItem[], thrown: Error): void {
    const error = toPlatformError(thrown);
    items.forEach((item) => {
      item.lastError = error;
    });
    if (!error.certainlyNoEffect) {
      this.onTransaction(TransactionEnding.AnswerLost, items.length);
      this.unsettled = { items, ending: TransactionEnding.AnswerLost };
      this.backOff(error);
      return;
    }
    this.onTransaction(TransactionEnding.Refused, items.length);
    if (isTemporary(error)) {
      this.backOff(error);
    } else if (items.length === 1) {
      items.forEach((item) => fail(item, error));
    } else {
      items.forEach((item) => {
        item.alone = true;
      });
    }
  }

  private async resolveUnsettled(transaction: UnsettledTransaction): Promise<void> {
    const { items } = transaction;
    const rows = await readCurrentRows(this.table, items);
    this.unsettled = null;
    const fates = fatesOf(transaction, rows);
    items.forEach((item, index) => settleByFate(item, fates[index] ?? ItemFate.Pending, rows));
    this.dropSettled();
  }

  private succeed(): void {
    this.backoff.reset();
    this.budget.recordSuccess();
  }

  private backOff(cause: Error): void {
    const error = toPlatformError(cause);
    this.queue.forEach((item) => {
      item.lastError = error;
    });
    const delayMs = Math.max(this.intervalMs, this.backoff.nextMs());
    this.nextStart = this.clock.now() + delayMs;
  }

  /** Settles items past their deadline, also those in the transaction that is in flight. */
  private expire(): void {
    const uncertain = new Set([...this.sent, ...(this.unsettledByLostAnswer() ?? [])]);
    for (const item of this.queue) {
      if (!item.isSettled && hasPassed(this.clock, item.deadline)) {
        fail(item, deadlineError(item, item.mayHaveLanded || uncertain.has(item)));
      }
    }
    this.dropSettled();
  }

  private unsettledByLostAnswer(): WriteItem[] | null {
    const transaction = this.unsettled;
    return transaction?.ending === TransactionEnding.AnswerLost ? transaction.items : null;
  }

  private dropSettled(): void {
    this.queue = this.queue.filter((item) => !item.isSettled);
  }
}
