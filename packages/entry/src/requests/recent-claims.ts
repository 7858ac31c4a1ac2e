/**
 * Claims that this entry took lately, for repetitions that arrive while the table cannot be read.
 */
import type { ClaimVersion } from './claim-store.js';

const CLAIMS_MAXIMUM = 4_096;

export class RecentClaims {
  private readonly rows = new Map<string, ClaimVersion>();

  note(claim: ClaimVersion): void {
    this.rows.delete(claim.key);
    this.rows.set(claim.key, claim);
    if (this.rows.size > CLAIMS_MAXIMUM) {
      const [oldest] = this.rows.keys();
      this.rows.delete(oldest as string);
    }
  }

  get(key: string): ClaimVersion | null {
    return this.rows.get(key) ?? null;
  }
}
