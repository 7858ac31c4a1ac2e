/**
 * Weighted percentiles and exponential decay of sample weights.
 */
export interface WeightedSample {
  value: number;
  weight: number;
}

/** The smallest value whose cumulative weight is at least `fraction` (0 to 1) of the total; 0 without samples. */
export function weightedPercentile(samples: readonly WeightedSample[], fraction: number): number {
  const sorted = [...samples].sort((left, right) => left.value - right.value);
  const totalWeight = sorted.reduce((sum, { weight }) => sum + weight, 0);
  let cumulativeWeight = 0;
  for (const { value, weight } of sorted) {
    cumulativeWeight += weight;
    if (cumulativeWeight >= fraction * totalWeight) {
      return value;
    }
  }
  return sorted[sorted.length - 1]?.value ?? 0;
}

/** The weight of a sample by its age: 1 when new, halved with each half-life. */
export function computeDecayWeight(ageMs: number, halfLifeMs: number): number {
  return 0.5 ** (Math.max(0, ageMs) / halfLifeMs);
}
