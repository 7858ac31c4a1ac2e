/**
 * Whether the store answers this process, from the outcome of its calls.
 */
import type { Clock, Instant } from '@figjunction/time';

/** A single failed call may be chance; the store counts as away after this long without a success. */
const AWAY_AFTER_MS = 250;
const FAILURES_MINIMUM = 2;

export class StoreHealth {
  private failures = 0;

  private failingSince: Instant | null = null;

  constructor(private readonly clock: Clock) {}

  noteSuccess(): void {
    this.failures = 0;
    this.failingSince = null;
  }

  noteFailure(): void {
    this.failures += 1;
    this.failingSince ??= this.clock.now();
  }

  /** True when no call has succeeded for at least this long, and at least two have failed. */
  isAway(forMs = AWAY_AFTER_MS): boolean {
    const isFailing = this.failingSince !== null && this.failures >= FAILURES_MINIMUM;
    return isFailing && this.clock.now() - (this.failingSince ?? 0) >= forMs;
  }
}
