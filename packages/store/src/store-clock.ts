/**
 * What is known here of the store's steady clock. Each answer of the store bounds its clock from both
 * sides; the bounds move on with the local steady clock.
 */
import type { Clock, Instant } from '@figjunction/time';

/** How far two steady clocks may drift apart, as a share of the elapsed time. */
const DRIFT_SHARE = 0.001;

export class StoreClock {
  private storeMs = 0;

  private sentAt: Instant = 0;

  private receivedAt: Instant | null = null;

  constructor(private readonly clock: Clock) {}

  observe(storeMs: number, sentAt: Instant): void {
    this.storeMs = storeMs;
    this.sentAt = sentAt;
    this.receivedAt = this.clock.now();
  }

  get known(): boolean {
    return this.receivedAt !== null;
  }

  /** The store's clock shows at least this. */
  earliest(): number {
    const elapsed = this.clock.now() - (this.receivedAt ?? this.clock.now());
    return this.storeMs + elapsed * (1 - DRIFT_SHARE);
  }

  /** The store's clock shows at most this. */
  latest(): number {
    return this.storeMs + (this.clock.now() - this.sentAt) * (1 + DRIFT_SHARE);
  }
}
