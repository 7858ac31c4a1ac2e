/**
 * Measures how busy this process is.
 */
import { performance } from 'node:perf_hooks';
import type { EventLoopUtilization } from 'node:perf_hooks';
import type { Clock, Instant } from '@figjunction/time';

export abstract class ProcessorLoad {
  /** Share of the recent time that the process worked, 0 to 1. */
  abstract utilization(): number;
}

/** Time over which the load is measured. */
const WINDOW_MS = 500;

/** Uses the share of the time that the event loop was not idle. */
export class EventLoopLoad extends ProcessorLoad {
  private windowStart: EventLoopUtilization = performance.eventLoopUtilization();

  private windowEndsAt: Instant;

  private last = 0;

  constructor(private readonly clock: Clock) {
    super();
    this.windowEndsAt = clock.now() + WINDOW_MS;
  }

  override utilization(): number {
    const now = this.clock.now();
    if (now >= this.windowEndsAt) {
      const current = performance.eventLoopUtilization();
      this.last = performance.eventLoopUtilization(current, this.windowStart).utilization;
      this.windowStart = current;
      this.windowEndsAt = now + WINDOW_MS;
    }
    return this.last;
  }
}
