/**
 * Limits retries to a fraction of the calls that succeeded, so that retries cannot multiply the load on
 * a service that is in trouble.
 */
import type { Clock, Instant } from '@figjunction/time';

export interface RetryBudgetOptions {
  clock: Clock;
  /** Retries allowed for each success. */
  fraction?: number;
  /** Retries saved up at most. */
  capacity?: number;
  /** Retries allowed without any success, so that the end of an outage is noticed. */
  minimumPerSecond?: number;
}

const DEFAULT_FRACTION = 0.1;
const DEFAULT_CAPACITY = 20;
const MILLISECONDS_PER_SECOND = 1_000;

export class RetryBudget {
  private readonly fraction: number;

  private readonly capacity: number;

  private readonly minimumPerSecond: number;

  private tokens: number;

  private refilledAt: Instant;

  constructor(private readonly options: RetryBudgetOptions) {
    const { clock, fraction = DEFAULT_FRACTION, capacity = DEFAULT_CAPACITY } = options;
    this.fraction = fraction;
    this.capacity = capacity;
    this.minimumPerSecond = options.minimumPerSecond ?? 0;
    this.tokens = capacity;
    this.refilledAt = clock.now();
  }

  recordSuccess(): void {
    this.add(this.fraction);
  }

  /** Takes the right to one retry; false when the budget is spent. */
  take(): boolean {
    this.refill();
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  private refill(): void {
    const now = this.options.clock.now();
    this.add(((now - this.refilledAt) / MILLISECONDS_PER_SECOND) * this.minimumPerSecond);
    this.refilledAt = now;
  }

  private add(tokens: number): void {
    this.tokens = Math.min(this.capacity, this.tokens + tokens);
  }
}
