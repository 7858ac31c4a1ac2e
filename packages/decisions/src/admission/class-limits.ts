/**
 * How many requests of each class an entry runs at once. The limit of a class follows what the agents
 * admit for that class (additive increase, multiplicative decrease), so that refusals of a flooding class
 * do not slow the others.
 */
import type { Instant } from '@figjunction/time';
import type { UrgencyClassName } from '@figjunction/types';

interface ClassLimit {
  limit: number;
  running: number;
  lowerAgainAt: Instant;
}

const DECREASE = 0.9;

/** Refusals of one moment come from one cause and lower the limit once. */
const DECREASE_INTERVAL_MS = 50;

/** By so much a full round of completed requests raises the limit. */
const INCREASE = 0.5;

export class ClassLimits {
  private readonly rows = new Map<UrgencyClassName, ClassLimit>();

  private ceiling = 1;

  /** Slots of all instances. */
  setCeiling(ceiling: number): void {
    for (const row of this.rows.values()) {
      // New slots may be used at once.
      row.limit = Math.max(1, row.limit + Math.max(0, ceiling - this.ceiling));
    }
    this.ceiling = Math.max(1, ceiling);
  }

  allows(urgency: UrgencyClassName): boolean {
    const row = this.rowOf(urgency);
    return row.running < this.of(urgency);
  }

  /** The limit in whole requests. */
  of(urgency: UrgencyClassName): number {
    return Math.max(1, Math.floor(Math.min(this.ceiling, this.rowOf(urgency).limit)));
  }

  begin(urgency: UrgencyClassName): void {
    this.rowOf(urgency).running += 1;
  }

  end(urgency: UrgencyClassName): void {
    this.rowOf(urgency).running -= 1;
  }

  /** An agent had no slot for the class. Its limit stays at the slots it is guaranteed, `floor`. */
  lower(urgency: UrgencyClassName, floor: number, now: Instant): void {
    const row = this.rowOf(urgency);
    if (now < row.lowerAgainAt) {
      return;
    }
    row.lowerAgainAt = now + DECREASE_INTERVAL_MS;
    row.limit = Math.max(1, floor, Math.min(this.ceiling, row.limit) * DECREASE);
  }

  raise(urgency: UrgencyClassName): void {
    const row = this.rowOf(urgency);
    row.limit = Math.min(this.ceiling, row.limit + INCREASE / row.limit);
  }

  private rowOf(urgency: UrgencyClassName): ClassLimit {
    let row = this.rows.get(urgency);
    if (row === undefined) {
      row = { limit: this.ceiling, running: 0, lowerAgainAt: Number.NEGATIVE_INFINITY };
      this.rows.set(urgency, row);
    }
    return row;
  }
}
