/**
 * Limits the concurrent requests of each urgency class at an entry. The limit of a class adapts to what the
 * agents admit for it (additive increase, multiplicative decrease), so that refusals of a flooding class do
 * not slow the other classes.
 */
import type { Instant } from '@figjunction/time';
import type { UrgencyClassName } from '@figjunction/types';

interface ClassLimit {
  limit: number;
  running: number;
  nextDecreaseAt: Instant;
}

const DECREASE_FACTOR = 0.9;

/** Refusals within this interval have the same cause, so they decrease the limit only once. */
const DECREASE_INTERVAL_MS = 50;

/** Added to the limit for as many completed requests as the limit allows at once. */
const INCREASE_PER_ROUND = 0.5;

export class ClassLimits {
  private readonly rows = new Map<UrgencyClassName, ClassLimit>();

  private ceiling = 1;

  /** Sets the upper bound of every limit: the slots of all instances. */
  setCeiling(ceiling: number): void {
    for (const row of this.rows.values()) {
      // Added slots may be used immediately.
      row.limit = Math.max(1, row.limit + Math.max(0, ceiling - this.ceiling));
    }
    this.ceiling = Math.max(1, ceiling);
  }

  /** Whether another request of the class may start. */
  isBelowLimit(urgency: UrgencyClassName): boolean {
    const row = this.getOrCreateRow(urgency);
    return row.running < this.getLimit(urgency);
  }

  /** The limit of the class in whole requests, at least 1. */
  getLimit(urgency: UrgencyClassName): number {
    return Math.max(1, Math.floor(Math.min(this.ceiling, this.getOrCreateRow(urgency).limit)));
  }

  recordStart(urgency: UrgencyClassName): void {
    this.getOrCreateRow(urgency).running += 1;
  }

  recordEnd(urgency: UrgencyClassName): void {
    this.getOrCreateRow(urgency).running -= 1;
  }

  /**
   * Decreases the limit after an agent refused a request of the class for lack of a slot, but not below
   * `floor`, the guaranteed slots of the class.
   */
  decreaseLimit(urgency: UrgencyClassName, floor: number, now: Instant): void {
    const row = this.getOrCreateRow(urgency);
    if (now < row.nextDecreaseAt) {
      return;
    }
    row.nextDecreaseAt = now + DECREASE_INTERVAL_MS;
    row.limit = Math.max(1, floor, Math.min(this.ceiling, row.limit) * DECREASE_FACTOR);
  }

  /** Increases the limit after a request of the class completed. */
  increaseLimit(urgency: UrgencyClassName): void {
    const row = this.getOrCreateRow(urgency);
    row.limit = Math.min(this.ceiling, row.limit + INCREASE_PER_ROUND / row.limit);
  }

  private getOrCreateRow(urgency: UrgencyClassName): ClassLimit {
    let row = this.rows.get(urgency);
    if (row === undefined) {
      row = { limit: this.ceiling, running: 0, nextDecreaseAt: Number.NEGATIVE_INFINITY };
      this.rows.set(urgency, row);
    }
    return row;
  }
}
