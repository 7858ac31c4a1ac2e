/**
 * Tells a burst from an overload. A queue that was empty a moment ago absorbs a burst; one that has not
 * been empty for a while only adds its length to every answer, and then takes no more than keeps the
 * slots busy.
 */
import type { Instant } from '@figjunction/time';
import type { UrgencyClassName } from '@figjunction/types';

/**
 * A class whose queue was never empty for this long is overloaded. What queues up before that waits
 * longest: at three times the capacity for 15 s, the requests of 300 ms are 2 % of those admitted and so
 * decide their p99, those of 100 ms are less than 1 %.
 */
export const OVERLOAD_MS = 100;

/**
 * In an overload a request may wait for this part of a usual service time. The goal is a p99 of at most
 * twice the unloaded one; a wait of one whole service time would use all of that up.
 */
export const OVERLOAD_WAIT_FACTOR = 0.75;

/**
 * In an overload, a request that has waited for this many usual service times is refused: one that was
 * queued before the overload was noticed, or that found no slot several times.
 */
export const OVERLOAD_AGE_FACTOR = 1;

export class WaitControl {
  private readonly lastEmpty = new Map<UrgencyClassName, Instant>();

  /** Notes how many requests of the class wait. */
  note(urgency: UrgencyClassName, waiting: number, now: Instant): void {
    if (waiting === 0 || !this.lastEmpty.has(urgency)) {
      this.lastEmpty.set(urgency, now);
    }
  }

  isOverloaded(urgency: UrgencyClassName, now: Instant): boolean {
    return now - (this.lastEmpty.get(urgency) ?? now) > OVERLOAD_MS;
  }
}
