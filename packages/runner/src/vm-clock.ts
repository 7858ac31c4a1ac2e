/**
 * Estimates the VM's monotonic clock, which may run slightly slower than the clock of this process.
 */
import type { Clock, Instant } from '@figjunction/time';

/** Lowest assumed rate of the VM's clock relative to this process's clock. */
const SLOWEST_RATE = 0.98;

export class VmClock {
  private vmClockMs = 0;

  private readAt: Instant | null = null;

  constructor(private readonly clock: Clock) {}

  /** Stores a reading. Returns null; or the last reading if it is higher, and stores nothing. */
  observe(vmClockMs: number): number | null {
    if (this.readAt !== null && vmClockMs < this.vmClockMs) {
      return this.vmClockMs;
    }
    this.vmClockMs = vmClockMs;
    this.readAt = this.clock.now();
    return null;
  }

  /** Lower bound of the VM's clock now, in milliseconds; null before the first response of the VM. */
  lowerBoundMs(): number | null {
    if (this.readAt === null) {
      return null;
    }
    return this.vmClockMs + (this.clock.now() - this.readAt) * SLOWEST_RATE;
  }
}
