/**
 * Token bucket that limits retries to a fraction of successful calls, so that retries do not overload a
 * service that is already failing.
 */
import type { Clock, Instant } from '@figjunction/time';

export interface RetryBudgetOptions {
  clock: Clock;
  /** Retries earned by each successful call. */
  fraction?: number;
  /** Maximum number of saved retries. */
  capacity?: number;
  /** Retries per second earned without any success, so that the end of an outage is detected. */
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
    this.addTokens(this.fraction);
  }

  /** Consumes one retry; returns false when the budget is exhausted. */
  tryConsume(): boolean {
    this.refill();
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  private refill(): void {
    const now = this.options.clock.now();
    this.addTokens(((now - this.refilledAt) / MILLISECONDS_PER_SECOND) * this.minimumPerSecond);
    this.refilledAt = now;
  }

  private addTokens(tokens: number): void {
    this.tokens = Math.min(this.capacity, this.tokens + tokens);
  }
}
