/**
 * Detects that this process has just resumed from a pause. Calls that waited in its socket buffers during the
 * pause look as if they had just arrived, although their senders have long since timed out.
 */
import { SystemClock } from '@figjunction/time';
import type { Clock, Instant } from '@figjunction/time';

export interface PauseDetectorOptions {
  clock?: Clock;
  /**
   * A longer time between two checks, in milliseconds, counts as a pause. A busy process must stay below it.
   */
  pauseMs?: number;
  /** How long after a pause calls count as buffered, in milliseconds. */
  resumeMs?: number;
}

const CHECK_INTERVAL_MS = 100;
const DEFAULT_PAUSE_MS = 1_500;
const DEFAULT_RESUME_MS = 300;

export class PauseDetector {
  private readonly clock: Clock;

  private readonly pauseMs: number;

  private readonly resumeMs: number;

  private lastCheckedAt: Instant;

  private resumingUntil: Instant = Number.NEGATIVE_INFINITY;

  constructor(options: PauseDetectorOptions = {}) {
    const { clock = new SystemClock() } = options;
    this.clock = clock;
    this.pauseMs = options.pauseMs ?? DEFAULT_PAUSE_MS;
    this.resumeMs = options.resumeMs ?? DEFAULT_RESUME_MS;
    this.lastCheckedAt = clock.now();
  }

  /** Checks at a fixed interval until the process ends, without keeping it alive. */
  start(): void {
    setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
  }

  /** Records the time of this check and whether a pause came before it. */
  check(): void {
    const now = this.clock.now();
    if (now - this.lastCheckedAt > this.pauseMs) {
      this.resumingUntil = now + this.resumeMs;
    }
    this.lastCheckedAt = now;
  }

  /** Checks first, because a buffered call may be handled before the first timer check after the pause. */
  isResuming(): boolean {
    this.check();
    return this.clock.now() < this.resumingUntil;
  }
}
