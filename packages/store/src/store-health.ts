/**
 * Detects from the results of calls whether this process can reach the store.
 */
import type { Clock, Instant } from '@figjunction/time';

/** The store counts as unavailable after this time without a success; a single failure may be transient. */
const UNAVAILABLE_AFTER_MS = 250;
const FAILURES_MINIMUM = 2;

export class StoreHealth {
  private failures = 0;

  private failingSince: Instant | null = null;

  constructor(private readonly clock: Clock) {}

  recordSuccess(): void {
    this.failures = 0;
    this.failingSince = null;
  }

  recordFailure(): void {
    this.failures += 1;
    this.failingSince ??= this.clock.now();
  }

  /**
   * True when at least two calls have failed, none has succeeded since, and the first failure is at least
   * `minimumMs` ago.
   */
  isUnavailable(minimumMs = UNAVAILABLE_AFTER_MS): boolean {
    const isFailing = this.failingSince !== null && this.failures >= FAILURES_MINIMUM;
    return isFailing && this.clock.now() - (this.failingSince ?? 0) >= minimumMs;
  }
}
