/**
 * Ring buffer of recent response latencies, for timeouts and hedging. It reflects a change of load within
 * seconds, unlike a histogram over the lifetime of the process.
 */
const DEFAULT_CAPACITY = 512;

/** The values are sorted again after this many new ones. */
const VALUES_PER_SORT = 16;

export class LatencyWindow {
  private readonly values: number[] = [];

  private sorted: number[] = [];

  private nextIndex = 0;

  private valuesSinceSort = 0;

  constructor(private readonly capacity: number = DEFAULT_CAPACITY) {}

  /** Adds a latency and overwrites the oldest one if the buffer is full. */
  record(milliseconds: number): void {
    this.values[this.nextIndex] = milliseconds;
    this.nextIndex = (this.nextIndex + 1) % this.capacity;
    this.valuesSinceSort += 1;
  }

  /**
   * Returns a percentile (0 to 100) in milliseconds, or null before the first value. The newest values are
   * missing until the next sort.
   */
  percentile(percent: number): number | null {
    if (this.valuesSinceSort >= VALUES_PER_SORT || this.sorted.length < VALUES_PER_SORT) {
      this.sorted = [...this.values].sort((left, right) => left - right);
      this.valuesSinceSort = 0;
    }
    const index = Math.ceil((percent / 100) * this.sorted.length) - 1;
    return this.sorted[Math.max(0, index)] ?? null;
  }
}
