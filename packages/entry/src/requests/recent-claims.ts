/**
 * Cache of the claims that this entry wrote last, for retries that arrive while the table cannot be read.
 */
import type { VersionedClaim } from './claim-store.js';

const CLAIMS_MAXIMUM = 4_096;

export class RecentClaims {
  private readonly rows = new Map<string, VersionedClaim>();

  add(claim: VersionedClaim): void {
    this.rows.delete(claim.key);
    this.rows.set(claim.key, claim);
    if (this.rows.size > CLAIMS_MAXIMUM) {
      const [oldest] = this.rows.keys();
      this.rows.delete(oldest as string);
    }
  }

  get(key: string): VersionedClaim | null {
    return this.rows.get(key) ?? null;
  }
}
