/**
 * Monotonic clocks. `hrtime` counts from the start of the host, so that processes of one VM share it;
 * it is never compared between VMs and never set back.
 */

/** A point in time on a monotonic clock, in milliseconds. */
export type Instant = number;

const NANOSECONDS_PER_MILLISECOND = 1e6;

export abstract class Clock {
  /** Now, on the host's monotonic clock. */
  abstract now(): Instant;

  /** Wall-clock time, for people and retention only; never compared with a deadline. */
  abstract wallTimeMs(): number;
}

export class SystemClock extends Clock {
  override now(): Instant {
    return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MILLISECOND;
  }

  override wallTimeMs(): number {
    return Date.now();
  }
}

/** A clock that moves only when told to, for tests of decisions. */
export class ManualClock extends Clock {
  private current: Instant;

  constructor(start: Instant = 0) {
    super();
    this.current = start;
  }

  override now(): Instant {
    return this.current;
  }

  override wallTimeMs(): number {
    return this.current;
  }

  advance(milliseconds: number): void {
    this.current += milliseconds;
  }
}
