/**
 * Tells when the store has given an answer at the earliest, on the clock of this process. What an answer says may have
 * changed since then, and an answer may be on its way for long.
 */
import type { Instant } from '@figjunction/time';

export interface TimedAnswer {
  sentAt: Instant;
  receivedAt: Instant;
  /** Time for which the store has held the answer back. */
  heldMs: number;
  /** Reading of the store's clock in the answer, in milliseconds. */
  storeMs: number;
}

/** Maximum drift between two monotonic clocks, as a fraction of the elapsed time. */
const MAXIMUM_DRIFT_RATIO = 0.001;

export class AnswerTimes {
  private last: { givenAt: Instant; storeMs: number } | null = null;

  /** Returns a lower bound. The store's clock relates an answer to the one before, whose bound may be closer. */
  observe({ sentAt, receivedAt, heldMs, storeMs }: TimedAnswer): Instant {
    const elapsedMs = this.last === null ? Number.NaN : storeMs - this.last.storeMs;
    const sinceLast = (this.last?.givenAt ?? 0) + elapsedMs * (1 - MAXIMUM_DRIFT_RATIO);
    const bounds = [sentAt + heldMs, sinceLast].filter(Number.isFinite);
    const givenAt = Math.min(receivedAt, Math.max(...bounds));
    this.last = Number.isFinite(storeMs) ? { givenAt, storeMs } : null;
    return givenAt;
  }

  /** Forgets the last answer, which later ones are not compared with any more. */
  reset(): void {
    this.last = null;
  }
}
