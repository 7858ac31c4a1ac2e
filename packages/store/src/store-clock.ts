/**
 * Bounds on the store's monotonic clock, in milliseconds. Each response with the store's time sets a lower and
 * an upper bound, which advance with the local monotonic clock.
 */
import type { Clock, Instant } from '@figjunction/time';

/** Maximum drift between two monotonic clocks, as a fraction of the elapsed time. */
const MAXIMUM_DRIFT_RATIO = 0.001;

export class StoreClock {
  private storeMs = 0;

  private sentAt: Instant = 0;

  private receivedAt: Instant | null = null;

  constructor(private readonly clock: Clock) {}

  /** Sets the bounds from a response that holds `storeMs`, to a request sent at `sentAt`. */
  observe(storeMs: number, sentAt: Instant): void {
    this.storeMs = storeMs;
    this.sentAt = sentAt;
    this.receivedAt = this.clock.now();
  }

  /** False before the first response, when the bounds are meaningless. */
  get isKnown(): boolean {
    return this.receivedAt !== null;
  }

  /** Lower bound: assumes that the store read its clock just before the response arrived. */
  earliest(): number {
    const elapsed = this.clock.now() - (this.receivedAt ?? this.clock.now());
    return this.storeMs + elapsed * (1 - MAXIMUM_DRIFT_RATIO);
  }

  /** Upper bound: assumes that the store read its clock as soon as the request was sent. */
  latest(): number {
    return this.storeMs + (this.clock.now() - this.sentAt) * (1 + MAXIMUM_DRIFT_RATIO);
  }
}
