/**
 * Divides the quota of a team between the entries in proportion to the demand that each of them saw. The
 * shares of all entries add up to one when they know the same demand.
 */

/** Part of an equal share that an entry keeps without demand, so that its first requests are admitted. */
const MINIMUM_FRACTION = 0.2;

export interface QuotaDemand {
  ownPerSecond: number;
  /** Demand at each other entry. */
  peersPerSecond: number[];
}

/** The fraction of the quota that this entry may use, 0 to 1. */
export function quotaShare(demand: QuotaDemand): number {
  const { ownPerSecond, peersPerSecond } = demand;
  const entries = peersPerSecond.length + 1;
  const total = peersPerSecond.reduce((sum, one) => sum + one, ownPerSecond);
  if (total <= 0) {
    return 1 / entries;
  }
  const minimum = MINIMUM_FRACTION / entries;
  return minimum + (1 - MINIMUM_FRACTION) * (ownPerSecond / total);
}
