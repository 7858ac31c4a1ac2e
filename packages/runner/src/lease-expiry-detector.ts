/**
 * Detects from a VM's lists that its lease has expired: from the first lists, since an earlier process of this
 * runner last extended it; from later ones, although this process takes it for valid. Ends listed before such an
 * expiry that the scheduler has not acknowledged are invalid, and their tasks are started again.
 */
import type { Clock, Instant } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import { mayLeaveOutEnds } from './vm-host.js';
import type { HoldResult } from './vm-host.js';

export interface EndValidity {
  /** False while it is unknown whether the ends in the list are valid. */
  isConclusive: boolean;
  /** Ends up to this sequence number are invalid. */
  invalidThrough: number;
}

export class LeaseExpiryDetector {
  private isDecided = false;

  /** True from an expiry until a list that contains all ends that are left from before it. */
  private isDiscarding = false;

  constructor(
    private readonly clock: Clock,
    private readonly inheritedLeaseUntil: Instant,
  ) {}

  /**
   * Determines which ends of a list are valid. After the first conclusive list, an end is invalid only if a
   * later one in the same list was caused by an expiry.
   */
  validateEnds(result: HoldResult): EndValidity {
    if (this.isDiscarding) {
      this.isDiscarding = mayLeaveOutEnds(result.ended);
      return { isConclusive: true, invalidThrough: lastEndSequence(result) };
    }
    if (this.isDecided) {
      return { isConclusive: true, invalidThrough: lastEndBeforeExpiry(result) };
    }
    const leaseExpiredEnds = result.ended.filter(({ ending }) => ending === RunEnding.Lapsed);
    const hasRunningTasks = result.running.length > 0;
    if (hasRunningTasks || leaseExpiredEnds.length > 0 || result.ended.length === 0) {
      this.isDecided = true;
      return {
        isConclusive: true,
        invalidThrough: Math.max(0, ...leaseExpiredEnds.map((end) => end.sequence)),
      };
    }
    // With no running task and no lease-expired end, the list does not show whether the lease expired.
    // From `inheritedLeaseUntil` on it must have, so the ends are invalid.
    const hasLeaseExpired = this.clock.now() >= this.inheritedLeaseUntil;
    this.isDecided = hasLeaseExpired;
    this.isDiscarding = hasLeaseExpired && mayLeaveOutEnds(result.ended);
    return {
      isConclusive: hasLeaseExpired,
      invalidThrough: hasLeaseExpired ? lastEndSequence(result) : 0,
    };
  }
}

/** The ends caused by the last expiry itself stay, because they carry checkpoints. */
function lastEndBeforeExpiry({ ended }: HoldResult): number {
  const lapsed = ended.filter(({ ending }) => ending === RunEnding.Lapsed);
  const lastLapsed = Math.max(0, ...lapsed.map(({ sequence }) => sequence));
  const preceding = ended.filter(
    ({ sequence, ending }) => sequence < lastLapsed && ending !== RunEnding.Lapsed,
  );
  return Math.max(0, ...preceding.map(({ sequence }) => sequence));
}

export function lastEndSequence({ ended }: HoldResult): number {
  return Math.max(0, ...ended.map(({ sequence }) => sequence));
}
