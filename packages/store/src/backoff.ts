/**
 * Exponential backoff with jitter, so that many clients do not retry at the same moment.
 */
import type { RandomSource } from '@figjunction/time';

export interface BackoffOptions {
  random: RandomSource;
  initialMs?: number;
  maximumMs?: number;
}

const DEFAULT_INITIAL_MS = 50;

/** Urgent work has to start within 4.3 s, so the end of an outage must be noticed before that. */
const DEFAULT_MAXIMUM_MS = 2_000;

export class Backoff {
  private readonly initialMs: number;

  private readonly maximumMs: number;

  private failures = 0;

  constructor(private readonly options: BackoffOptions) {
    this.initialMs = options.initialMs ?? DEFAULT_INITIAL_MS;
    this.maximumMs = options.maximumMs ?? DEFAULT_MAXIMUM_MS;
  }

  /** True after a failure that no success followed. */
  get isBackingOff(): boolean {
    return this.failures > 0;
  }

  /** Counts a failure and returns how long to wait. */
  nextMs(): number {
    const unlimited = this.initialMs * 2 ** this.failures;
    this.failures += 1;
    return this.options.random.jitter(Math.min(this.maximumMs, unlimited));
  }

  reset(): void {
    this.failures = 0;
  }
}
