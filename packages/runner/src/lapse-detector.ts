/**
 * Finds out whether the lease of a VM has expired since its last extension. An end that was listed before
 * such an expiry and not settled does not count, and its task starts again.
 */
import type { Clock, Instant } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import type { HoldResult } from './vm-host.js';

export interface HoldCall {
  askedAt: Instant;
  /** End of the lease on the VM's clock before this call; null before the first extension. */
  leaseBefore: number | null;
}

export interface LapseVerdict {
  /** False while it cannot be told whether the ends in the list count. */
  isCertain: boolean;
  /** Ends up to this one do not count. */
  voidThrough: number;
}

export class LapseDetector {
  private extendedUntilVmMs: number | null = null;

  private hasJudged = false;

  constructor(
    private readonly clock: Clock,
    private readonly inheritedLeaseUntil: Instant,
  ) {}

  /** Notes a call that extends the lease. */
  noteCall(leaseUntilVmMs: number | null): HoldCall {
    const call = { askedAt: this.clock.now(), leaseBefore: this.extendedUntilVmMs };
    if (leaseUntilVmMs !== null) {
      this.extendedUntilVmMs = Math.max(this.extendedUntilVmMs ?? 0, leaseUntilVmMs);
    }
    return call;
  }

  judge(call: HoldCall, result: HoldResult): LapseVerdict {
    if (!this.hasJudged) {
      return this.judgeFirst(result);
    }
    const earliestAtCall = result.vmClockMs - (this.clock.now() - call.askedAt);
    const hasLapsed = call.leaseBefore !== null && earliestAtCall > call.leaseBefore;
    return { isCertain: true, voidThrough: hasLapsed ? lastEnd(result) : 0 };
  }

  /** The lists of a VM whose lease an earlier process of this runner has extended. */
  private judgeFirst(result: HoldResult): LapseVerdict {
    const lapsed = result.ended.filter(({ ending }) => ending === RunEnding.Lapsed);
    const isAlive = result.running.length > 0;
    if (isAlive || lapsed.length > 0 || result.ended.length === 0) {
      this.hasJudged = true;
      return { isCertain: true, voidThrough: Math.max(0, ...lapsed.map((end) => end.sequence)) };
    }
    // Nothing ran when the lease may have expired. Once it has expired for sure, the ends are void.
    const isOver = this.clock.now() >= this.inheritedLeaseUntil;
    this.hasJudged = isOver;
    return { isCertain: isOver, voidThrough: isOver ? lastEnd(result) : 0 };
  }
}

function lastEnd({ ended }: HoldResult): number {
  return Math.max(0, ...ended.map(({ sequence }) => sequence));
}
