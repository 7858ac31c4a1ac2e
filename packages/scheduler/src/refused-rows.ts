/**
 * Selects the rows of the next transaction so that one which the store refuses holds back no others for long. A
 * transaction that fails is repeated with half of its rows, until the one at fault stands alone. That one is tried
 * alone from then on, ever less often, while the others are stored.
 */
import type { Instant } from '@figjunction/time';

interface RefusedRow {
  refusals: number;
  retryAt: Instant;
}

const INITIAL_RETRY_MS = 200;
const MAXIMUM_RETRY_MS = 5_000;
const RETRY_BACKOFF_FACTOR = 2;
/** A failure without a refusal is put down to the row only if others were stored this recently. */
const WORKING_STORE_MS = 2_000;
/** After this many refusals, nothing waits any more for the row to be stored. */
const REFUSALS_MAXIMUM = 4;

export class RefusedRows {
  private readonly refused = new Map<string, RefusedRow>();

  /** Rows of failed transactions, one of which may be at fault. They come after the others. */
  private readonly doubted = new Set<string>();

  private limit: number;

  private storedAt: Instant = Number.NEGATIVE_INFINITY;

  private wasLastAlone = false;

  constructor(private readonly maximum: number) {
    this.limit = maximum;
  }

  /** Returns the keys for the next transaction: some that were not refused, or a single refused one that is due. */
  select(keys: string[], now: Instant): string[] {
    this.forgetOthers(keys);
    const usual = keys.filter((key) => !this.refused.has(key));
    const due = keys.find((key) => (this.refused.get(key)?.retryAt ?? Infinity) <= now);
    if (due !== undefined && (usual.length === 0 || !this.wasLastAlone)) {
      this.wasLastAlone = true;
      return [due];
    }
    this.wasLastAlone = false;
    const isDoubted = (key: string): boolean => this.doubted.has(key);
    const ordered = [...usual.filter((key) => !isDoubted(key)), ...usual.filter(isDoubted)];
    return ordered.slice(0, this.limit);
  }

  /** True if the store has refused the row so often that others must not wait for it. */
  isGivenUp(key: string): boolean {
    return (this.refused.get(key)?.refusals ?? 0) >= REFUSALS_MAXIMUM;
  }

  recordStored(keys: string[], now: Instant): void {
    this.storedAt = now;
    for (const key of keys) {
      this.refused.delete(key);
      this.doubted.delete(key);
    }
    this.limit = Math.min(this.maximum, 2 * this.limit);
  }

  /**
   * Records a transaction that failed. `isRefusal` means that the store has answered that it never takes it. Returns
   * the row that is at fault, if it is known.
   */
  recordFailure(keys: string[], isRefusal: boolean, now: Instant): string | null {
    const [key = null] = keys;
    keys.forEach((failed) => this.doubted.add(failed));
    if (keys.length > 1) {
      this.limit = Math.ceil(keys.length / 2);
      return null;
    }
    const isStoreWorking = now - this.storedAt <= WORKING_STORE_MS;
    if (key === null || !(isRefusal || isStoreWorking)) {
      return null;
    }
    const refusals = (this.refused.get(key)?.refusals ?? 0) + 1;
    const delayMs = INITIAL_RETRY_MS * RETRY_BACKOFF_FACTOR ** (refusals - 1);
    this.refused.set(key, { refusals, retryAt: now + Math.min(MAXIMUM_RETRY_MS, delayMs) });
    return key;
  }

  private forgetOthers(keys: string[]): void {
    if (this.refused.size + this.doubted.size === 0) {
      return;
    }
    const known = new Set(keys);
    for (const key of [...this.refused.keys(), ...this.doubted]) {
      if (!known.has(key)) {
        this.refused.delete(key);
        this.doubted.delete(key);
      }
    }
  }
}
