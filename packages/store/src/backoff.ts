/**
 * Exponential backoff with jitter, which prevents many clients from retrying at the same time.
 */
import type { RandomSource } from '@figjunction/time';

export interface BackoffOptions {
  random: RandomSource;
  initialMs?: number;
  maximumMs?: number;
}

const DEFAULT_INITIAL_MS = 50;

/** Urgent work must start within 4.3 s, so the end of an outage must be detected sooner than that. */
const DEFAULT_MAXIMUM_MS = 2_000;

export class Backoff {
  private readonly initialMs: number;

  private readonly maximumMs: number;

  private failures = 0;

  constructor(private readonly options: BackoffOptions) {
    this.initialMs = options.initialMs ?? DEFAULT_INITIAL_MS;
    this.maximumMs = options.maximumMs ?? DEFAULT_MAXIMUM_MS;
  }

  /** True when `reset` has not been called since the last failure. */
  get isBackingOff(): boolean {
    return this.failures > 0;
  }

  /** Counts a failure and returns the delay before the next attempt, in milliseconds. */
  nextDelayMs(): number {
    const uncappedMs = this.initialMs * 2 ** this.failures;
    this.failures += 1;
    return this.options.random.jitter(Math.min(this.maximumMs, uncappedMs));
  }

  /** Starts again at the initial delay; called after a success. */
  reset(): void {
    this.failures = 0;
  }
}
