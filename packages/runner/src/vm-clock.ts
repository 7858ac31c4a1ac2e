/**
 * What is known of the VM's steady clock. It may run a little slower than the clock of this process.
 */
import type { Clock, Instant } from '@figjunction/time';

const SLOWEST_RATE = 0.98;

export class VmClock {
  private vmClockMs = 0;

  private readAt: Instant | null = null;

  constructor(private readonly clock: Clock) {}

  observe(vmClockMs: number): void {
    this.vmClockMs = vmClockMs;
    this.readAt = this.clock.now();
  }

  /** The VM's clock shows at least this; null before the first answer of the VM. */
  earliest(): number | null {
    if (this.readAt === null) {
      return null;
    }
    return this.vmClockMs + (this.clock.now() - this.readAt) * SLOWEST_RATE;
  }
}
