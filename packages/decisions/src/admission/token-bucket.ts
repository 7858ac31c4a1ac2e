/**
 * Token bucket. Each call passes the rate and the burst; a changed rate applies from the last call on.
 */
import type { Instant } from '@figjunction/time';

const MILLISECONDS_PER_SECOND = 1_000;

export class TokenBucket {
  /** Null until the first call, which fills the bucket. */
  private tokens: number | null = null;

  private refilledAt: Instant = 0;

  /** Takes tokens if there are enough, else returns false. */
  take(now: Instant, perSecond: number, burst: number, amount = 1): boolean {
    this.refill(now, perSecond, burst);
    if ((this.tokens ?? 0) < amount) {
      return false;
    }
    this.tokens = (this.tokens ?? 0) - amount;
    return true;
  }

  /** Takes tokens for work that is already done; the number of tokens may become negative. */
  charge(now: Instant, perSecond: number, burst: number, amount: number): void {
    this.refill(now, perSecond, burst);
    this.tokens = (this.tokens ?? 0) - amount;
  }

  /** Whether there are enough tokens now. */
  hasTokens(now: Instant, perSecond: number, burst: number, amount: number): boolean {
    this.refill(now, perSecond, burst);
    return (this.tokens ?? 0) >= amount;
  }

  private refill(now: Instant, perSecond: number, burst: number): void {
    const earned = ((now - this.refilledAt) / MILLISECONDS_PER_SECOND) * perSecond;
    this.tokens = this.tokens === null ? burst : Math.min(burst, this.tokens + earned);
    this.refilledAt = now;
  }
}
