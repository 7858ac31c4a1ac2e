/**
 * Remembers the runs whose stop has been ordered for as long as a start order that the stop order has overtaken may
 * be on its way.
 */
import type { Clock, Instant } from '@figjunction/time';
import type { RunReference } from '@figjunction/types';
import { buildKey } from './order-execution.js';

/** Longer than the network delays an order whose sender has given it up. */
const ORDER_DELAY_MAXIMUM_MS = 10_000;

export class WithdrawnRuns {
  /** When each run is forgotten, by its key, the next one first. */
  private readonly forgetAt = new Map<string, Instant>();

  constructor(private readonly clock: Pick<Clock, 'now'>) {}

  add(reference: RunReference): void {
    this.forget();
    const key = buildKey(reference);
    this.forgetAt.delete(key);
    this.forgetAt.set(key, this.clock.now() + ORDER_DELAY_MAXIMUM_MS);
  }

  has(reference: RunReference): boolean {
    this.forget();
    return this.forgetAt.has(buildKey(reference));
  }

  private forget(): void {
    const now = this.clock.now();
    for (const [key, forgetAt] of this.forgetAt) {
      if (forgetAt > now) {
        return;
      }
      this.forgetAt.delete(key);
    }
  }
}
