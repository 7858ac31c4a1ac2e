/**
 * The highest of the values that were observed within a sliding window of time.
 */
import type { Instant } from '@figjunction/time';

const DEFAULT_WINDOW_MS = 4_000;
/** Only the highest value of each of this many parts of the window is kept. */
const PARTS = 4;

export class SlidingMaximum {
  /** Highest values of the latest parts, the newest last, with the ends of the parts. */
  private parts: { highest: number; endsAt: Instant }[] = [];

  private readonly partMs: number;

  constructor(private readonly windowMs = DEFAULT_WINDOW_MS) {
    this.partMs = windowMs / PARTS;
  }

  /** 0 before the first value. */
  get value(): number {
    return Math.max(0, ...this.parts.map(({ highest }) => highest));
  }

  observe(value: number, now: Instant): void {
    this.parts = this.parts.filter(({ endsAt }) => now - endsAt < this.windowMs - this.partMs);
    const newest = this.parts[this.parts.length - 1];
    if (newest === undefined || now >= newest.endsAt) {
      this.parts.push({ highest: value, endsAt: now + this.partMs });
    } else {
      newest.highest = Math.max(newest.highest, value);
    }
  }
}
