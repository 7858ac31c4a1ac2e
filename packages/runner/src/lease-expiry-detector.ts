/**
 * Finds out whether the lease of a VM has expired since its last extension. An end that was listed before
 * such an expiry and not settled does not count, and its task starts again.
 */
import type { Clock, Instant } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import type { HoldResult } from './vm-host.js';

export interface LapseVerdict {
  /** False while it cannot be told whether the ends in the list count. */
  isCertain: boolean;
  /** Ends up to this one do not count. */
  voidThrough: number;
}

const NOTHING_VOID: LapseVerdict = { isCertain: true, voidThrough: 0 };

export class LapseDetector {
  private hasJudged = false;

  constructor(
    private readonly clock: Clock,
    private readonly inheritedLeaseUntil: Instant,
  ) {}

  /** Judges the first list of a VM whose lease an earlier process of this runner may have extended. */
  judge(result: HoldResult): LapseVerdict {
    if (this.hasJudged) {
      return NOTHING_VOID;
    }
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

export function lastEnd({ ended }: HoldResult): number {
  return Math.max(0, ...ended.map(({ sequence }) => sequence));
}
