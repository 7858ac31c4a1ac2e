/**
 * Distinguishes overload from bursts. A queue that was empty recently absorbs a burst. A queue that has been
 * non-empty for longer only adds latency to every response, so the caller then accepts no more requests
 * than keep the slots busy.
 */
import type { Instant } from '@figjunction/time';
import type { UrgencyClassName } from '@figjunction/types';

/**
 * A class whose queue has been non-empty for longer than this is overloaded. Requests queued before the
 * detection wait longest. At three times the capacity for 15 s, those queued in 300 ms are 2 % of the
 * admitted requests and so determine the p99; those queued in 100 ms are less than 1 %.
 */
export const OVERLOAD_DETECTION_MS = 100;

/**
 * Longest expected wait in overload, as a fraction of the usual service time. The goal is a p99 of at most
 * twice the unloaded p99; a wait of one full service time would use up the whole margin.
 */
export const OVERLOAD_WAIT_FACTOR = 0.75;

/**
 * In overload, a request that has waited longer than this many usual service times is refused: it was
 * queued before the overload was detected, or found no slot several times.
 */
export const OVERLOAD_AGE_FACTOR = 1;

export class OverloadDetector {
  private readonly lastEmpty = new Map<UrgencyClassName, Instant>();

  /** Records the number of waiting requests of the class. */
  recordWaiting(urgency: UrgencyClassName, waiting: number, now: Instant): void {
    if (waiting === 0 || !this.lastEmpty.has(urgency)) {
      this.lastEmpty.set(urgency, now);
    }
  }

  /** Whether the queue of the class has been non-empty for longer than the detection time. */
  isOverloaded(urgency: UrgencyClassName, now: Instant): boolean {
    return now - (this.lastEmpty.get(urgency) ?? now) > OVERLOAD_DETECTION_MS;
  }
}
