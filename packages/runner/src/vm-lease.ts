/**
 * The lease of a VM: how far the scheduler has granted it, and whether it has expired since. After an
 * expiry nothing may be extended, started or reported until a list of the VM tells which ends came before.
 */
import type { VmClock } from './vm-clock.js';

export class VmLease {
  /** End of the lease on the VM's clock; null while nothing is granted. */
  untilVmMs: number | null = null;

  /** The lease has expired and no list has closed the time before. */
  isExpired = false;

  constructor(private readonly clock: VmClock) {}

  /** The scheduler allows the lease to run until this time on the VM's clock. */
  grantUntil(vmMs: number): void {
    this.untilVmMs = Math.max(this.untilVmMs ?? 0, Math.floor(vmMs));
  }

  /** Finds out whether the lease has surely expired since it was last extended. */
  hasExpired(): boolean {
    const vmMs = this.clock.earliest();
    const isOver = vmMs !== null && this.untilVmMs !== null && vmMs > this.untilVmMs;
    if (isOver) {
      this.isExpired = true;
      this.untilVmMs = null;
    }
    return this.isExpired;
  }

  /** A list that was asked for after the expiry has been applied. */
  closeExpiry(): void {
    this.isExpired = false;
  }
}
