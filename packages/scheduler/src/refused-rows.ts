/**
 * Selects the rows of the next transaction so that one which the store refuses holds back no others for long. A
 * transaction that fails is repeated with half of its rows, until the one at fault stands alone. That one is tried
 * alone from then on, ever less often, while the others are stored. An outage can look the same, so only the store's
 * answer that it never takes a row counts as proof; such a row is stored in a substitute form.
 */
import type { Instant } from '@figjunction/time';

interface RefusedRow {
  failures: number;
  /** How often the store has answered that it never takes the row. */
  refusals: number;
  /** True if the substitute is tried next. */
  isSubstituteNext: boolean;
  retryAt: Instant;
}

export interface FailedWrite {
  keys: string[];
  /** The store has answered that it never takes this. */
  isRefusal: boolean;
  /** A single row for which a substitute can be stored. */
  hasSubstitute: boolean;
}

const INITIAL_RETRY_MS = 200;
const MAXIMUM_RETRY_MS = 5_000;
/** Without a refusal the store may be at fault, and ends of runs wait for the row once it works again. */
const MAXIMUM_RETRY_UNREFUSED_MS = 800;
const RETRY_BACKOFF_FACTOR = 2;
/** A failure without a refusal is put down to the row only if others were stored this recently. */
const WORKING_STORE_MS = 2_000;
/** After this many refusals, the substitute is stored. */
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

  /** Returns the key if the substitute of this only row is to be stored, else null. */
  findSubstitute(keys: string[]): string | null {
    const [key = null] = keys;
    const isNext = key !== null && this.refused.get(key)?.isSubstituteNext === true;
    return isNext ? key : null;
  }

  recordStored(keys: string[], now: Instant): void {
    this.storedAt = now;
    for (const key of keys) {
      if (this.refused.get(key)?.refusals === 0) {
        this.forgetUnrefused();
      }
      this.refused.delete(key);
      this.doubted.delete(key);
    }
    this.limit = Math.min(this.maximum, 2 * this.limit);
  }

  /** A row that is stored after all was not at fault, so the others that failed without a refusal may not be either. */
  private forgetUnrefused(): void {
    for (const [key, { refusals }] of this.refused) {
      if (refusals === 0) {
        this.refused.delete(key);
      }
    }
  }

  /** The row itself is tried again later. */
  recordSubstituteStored(key: string, now: Instant): void {
    this.storedAt = now;
    const row = this.refused.get(key);
    if (row !== undefined) {
      row.isSubstituteNext = false;
      row.retryAt = now + MAXIMUM_RETRY_MS;
    }
  }

  /** Records a transaction that failed. Returns the row that is at fault, if it is known. */
  recordFailure({ keys, isRefusal, hasSubstitute }: FailedWrite, now: Instant): string | null {
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
    const before = this.refused.get(key) ?? { failures: 0, refusals: 0, isSubstituteNext: false };
    const failures = before.failures + 1;
    const refusals = before.refusals + Number(isRefusal);
    const isDue = isRefusal && hasSubstitute && refusals >= REFUSALS_MAXIMUM;
    const isSubstituteNext = isRefusal
      ? isDue && !before.isSubstituteNext
      : before.isSubstituteNext;
    const maximumMs = refusals > 0 ? MAXIMUM_RETRY_MS : MAXIMUM_RETRY_UNREFUSED_MS;
    const delayMs = isRefusal && isSubstituteNext ? 0 : computeDelayMs(failures, maximumMs);
    this.refused.set(key, { failures, refusals, isSubstituteNext, retryAt: now + delayMs });
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

function computeDelayMs(failures: number, maximumMs: number): number {
  return Math.min(maximumMs, INITIAL_RETRY_MS * RETRY_BACKOFF_FACTOR ** (failures - 1));
}
