/**
 * Latencies of the last answers, for bounds and hedging. A ring of recent values follows a change of load
 * within seconds, which a histogram over the whole life of the process does not.
 */
const DEFAULT_CAPACITY = 512;

/** Percentiles are computed again after this many new values. */
const REFRESH_VALUES = 16;

export class LatencyWindow {
  private readonly values: number[] = [];

  private sorted: number[] = [];

  private next = 0;

  private unsorted = 0;

  constructor(private readonly capacity: number = DEFAULT_CAPACITY) {}

  record(milliseconds: number): void {
    this.values[this.next] = milliseconds;
    this.next = (this.next + 1) % this.capacity;
    this.unsorted += 1;
  }

  /** Null before the first value. */
  percentile(percent: number): number | null {
    if (this.unsorted >= REFRESH_VALUES || this.sorted.length < REFRESH_VALUES) {
      this.sorted = [...this.values].sort((left, right) => left - right);
      this.unsorted = 0;
    }
    const index = Math.ceil((percent / 100) * this.sorted.length) - 1;
    return this.sorted[Math.max(0, index)] ?? null;
  }
}
