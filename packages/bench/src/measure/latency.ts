/**
 * Latencies in milliseconds, kept in a histogram.
 */
import { build } from 'hdr-histogram-js';
import type { Figures } from './scenario.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;
const HIGHEST_US = 600_000_000;
const SIGNIFICANT_DIGITS = 3;

export class Latency {
  private readonly histogram = build({
    highestTrackableValue: HIGHEST_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

  record(milliseconds: number): void {
    const microseconds = Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND);
    this.histogram.recordValue(Math.min(HIGHEST_US, Math.max(1, microseconds)));
  }

  get count(): number {
    return this.histogram.totalCount;
  }

  /** Null before the first value. */
  percentileMs(percentile: number): number | null {
    if (this.count === 0) {
      return null;
    }
    return this.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  }

  get maximumMs(): number | null {
    return this.count === 0 ? null : this.histogram.maxValue / MICROSECONDS_PER_MILLISECOND;
  }

  /** p50, p99, p99.9 under names that start with the prefix. */
  figures(prefix: string): Figures {
    return {
      [`${prefix}P50Ms`]: this.percentileMs(50),
      [`${prefix}P99Ms`]: this.percentileMs(99),
      [`${prefix}P999Ms`]: this.percentileMs(99.9),
    };
  }
}
