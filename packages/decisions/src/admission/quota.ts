/**
 * Divides the quota of a team among the entries in proportion to the demand at each of them, above a
 * minimum share. The shares of all entries sum to 1 if all use the same demand figures.
 */

/** Fraction of an equal share that an entry keeps without demand, so that its first requests are admitted. */
const MINIMUM_FRACTION = 0.2;

/** Requests per second of one team. */
export interface QuotaDemand {
  /** Demand at this entry. */
  ownPerSecond: number;
  /** Demand at each other entry. */
  peersPerSecond: number[];
}

/** The fraction of the quota that this entry may use, 0 to 1. */
export function calculateQuotaShare(demand: QuotaDemand): number {
  const { ownPerSecond, peersPerSecond } = demand;
  const entries = peersPerSecond.length + 1;
  const total = peersPerSecond.reduce(
    (sum, demandPerSecond) => sum + demandPerSecond,
    ownPerSecond,
  );
  if (total <= 0) {
    return 1 / entries;
  }
  const minimum = MINIMUM_FRACTION / entries;
  return minimum + (1 - MINIMUM_FRACTION) * (ownPerSecond / total);
}
