/**
 * Percentiles of samples that lose weight with age.
 */
export interface WeightedSample {
  value: number;
  weight: number;
}

/** The smallest value that at least `fraction` of the weight does not exceed; 0 without samples. */
export function weightedPercentile(samples: readonly WeightedSample[], fraction: number): number {
  const sorted = [...samples].sort((left, right) => left.value - right.value);
  const total = sorted.reduce((sum, { weight }) => sum + weight, 0);
  let below = 0;
  for (const { value, weight } of sorted) {
    below += weight;
    if (below >= fraction * total) {
      return value;
    }
  }
  return sorted[sorted.length - 1]?.value ?? 0;
}

/** Halves with every half-life of age. */
export function weightOfAge(ageMs: number, halfLifeMs: number): number {
  return 0.5 ** (Math.max(0, ageMs) / halfLifeMs);
}
