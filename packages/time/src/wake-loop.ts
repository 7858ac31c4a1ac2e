/**
 * A loop that runs soon after it is woken, and otherwise at a slow pace. Wakes within the short interval
 * share one run; runs never overlap, and leave most of the time to other work of the process.
 */
import type { Clock, Instant } from './clock.js';

export interface WakeLoopOptions {
  clock: Clock;
  run: (now: Instant) => void;
  onError: (error: unknown) => void;
  /** Shortest time between two runs. */
  shortestMs?: number;
  /** Longest time between two runs. */
  longestMs?: number;
  /** Returns how many times the time that a run took the loop rests after it, at least. */
  restFactor?: () => number;
}

const DEFAULT_SHORTEST_MS = 8;
const DEFAULT_LONGEST_MS = 100;
const DEFAULT_REST_FACTOR = 3;

export class WakeLoop {
  private readonly options: Required<WakeLoopOptions>;

  private timer: NodeJS.Timeout | null = null;

  private dueAt: Instant = Number.POSITIVE_INFINITY;

  private lastRunAt: Instant = 0;

  private restUntil: Instant = 0;

  private stopped = true;

  constructor(options: WakeLoopOptions) {
    this.options = {
      shortestMs: DEFAULT_SHORTEST_MS,
      longestMs: DEFAULT_LONGEST_MS,
      restFactor: () => DEFAULT_REST_FACTOR,
      ...options,
    };
  }

  start(): void {
    this.stopped = false;
    this.wake();
  }

  stop(): void {
    this.stopped = true;
    if (this.timer !== null) {
      clearTimeout(this.timer);
      this.timer = null;
    }
    this.dueAt = Number.POSITIVE_INFINITY;
  }

  wake(): void {
    this.schedule(Math.max(this.lastRunAt + this.options.shortestMs, this.restUntil));
  }

  private schedule(at: Instant): void {
    if (this.stopped || at >= this.dueAt) {
      return;
    }
    if (this.timer !== null) {
      clearTimeout(this.timer);
    }
    this.dueAt = at;
    this.timer = setTimeout(() => this.runOnce(), Math.max(0, at - this.options.clock.now()));
  }

  private runOnce(): void {
    this.timer = null;
    this.dueAt = Number.POSITIVE_INFINITY;
    this.lastRunAt = this.options.clock.now();
    try {
      this.options.run(this.lastRunAt);
    } catch (error) {
      this.options.onError(error);
    }
    const endedAt = this.options.clock.now();
    this.restUntil = endedAt + this.options.restFactor() * (endedAt - this.lastRunAt);
    this.schedule(Math.max(this.lastRunAt + this.options.longestMs, this.restUntil));
  }
}
