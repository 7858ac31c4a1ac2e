/**
 * Tells that this process has just resumed from a pause. Calls that waited in the buffers of its
 * connections are then handled as if they had just arrived, although their senders gave up long ago.
 */
import { SystemClock } from '@figjunction/time';
import type { Clock, Instant } from '@figjunction/time';

export interface PauseDetectorOptions {
  clock?: Clock;
  /** A longer silence of the process counts as a pause; a busy process is silent for a shorter time. */
  pauseMs?: number;
  /** After a pause, calls count as buffered for this long. */
  resumeMs?: number;
}

const BEAT_INTERVAL_MS = 100;
const DEFAULT_PAUSE_MS = 1_500;
const DEFAULT_RESUME_MS = 300;

export class PauseDetector {
  private readonly clock: Clock;

  private readonly pauseMs: number;

  private readonly resumeMs: number;

  private lastBeat: Instant;

  private resumingUntil: Instant = Number.NEGATIVE_INFINITY;

  constructor(options: PauseDetectorOptions = {}) {
    const { clock = new SystemClock() } = options;
    this.clock = clock;
    this.pauseMs = options.pauseMs ?? DEFAULT_PAUSE_MS;
    this.resumeMs = options.resumeMs ?? DEFAULT_RESUME_MS;
    this.lastBeat = clock.now();
  }

  /** Beats until the process ends, without keeping it alive. */
  start(): void {
    setInterval(() => this.beat(), BEAT_INTERVAL_MS).unref();
  }

  beat(): void {
    const now = this.clock.now();
    if (now - this.lastBeat > this.pauseMs) {
      this.resumingUntil = now + this.resumeMs;
    }
    this.lastBeat = now;
  }

  /** Buffered calls are handled before or after the first beat, so both count. */
  isResuming(): boolean {
    this.beat();
    return this.clock.now() < this.resumingUntil;
  }
}
