/**
 * Tracks when the VM last answered: how old its last list is, and how long it has been silent.
 */
import type { Instant } from '@figjunction/time';

/**
 * An answering VM gives the next list before its last one is as old as this: two long polls in a row take up to
 * 1.8 s. A process that was suspended finds its last list older, although no call has failed.
 */
export const LIST_AGE_MAXIMUM_MS = 2_000;

export class VmAnswers {
  /** When the last applied list was requested. */
  listRequestedAt: Instant = Number.NEGATIVE_INFINITY;

  private hasFailedCall = false;

  /** True if a call that was sent after the request of the last applied list has got no response. */
  get isUnanswered(): boolean {
    return this.hasFailedCall;
  }

  /** Time since the last applied list was requested, in whole milliseconds; null before the first list. */
  listAgeMs(now: Instant): number | null {
    const ageMs = Math.round(now - this.listRequestedAt);
    return Number.isFinite(ageMs) ? ageMs : null;
  }

  /** The age of the last list if the VM leaves calls unanswered or a newer list is overdue; else 0. */
  silentMs(now: Instant): number {
    const ageMs = this.listAgeMs(now) ?? 0;
    return this.hasFailedCall || ageMs >= LIST_AGE_MAXIMUM_MS ? ageMs : 0;
  }

  /** Records an applied list. Returns true if the VM was silent before. */
  recordList(requestedAt: Instant, now: Instant): boolean {
    const wasSilent = this.silentMs(now) > 0;
    if (requestedAt >= this.listRequestedAt) {
      this.listRequestedAt = requestedAt;
      this.hasFailedCall = false;
    }
    return wasSilent;
  }

  /** Records a request for a list that got no response. One from before the last applied list tells nothing new. */
  recordFailure(requestedAt: Instant): void {
    if (requestedAt >= this.listRequestedAt) {
      this.hasFailedCall = true;
    }
  }
}
