/**
 * The lease of a VM: the end that the scheduler has granted, and the end that the VM has confirmed. The VM ends its runs
 * when the lease expires. Its ends of runs from before stay true: they are reported like any others.
 */
import type { VmClock } from './vm-clock.js';

/**
 * A VM with less than this left of its confirmed lease is told of a grant at once. The next poll may be sent only
 * after a poll of 900 ms and a pause of 200 ms; the rest is for the calls.
 */
const CONFIRMED_REST_MINIMUM_MS = 1_300;
/** Minimum time between two such requests, because grants arrive as often as a run ends. */
const CONFIRMATION_INTERVAL_MS = 150;
/** A poll ends this long before the confirmed lease does, so that another one can extend it. */
const POLL_MARGIN_MS = 200;
const POLL_WAIT_MINIMUM_MS = 100;

export class VmLease {
  /** End of the lease on the VM's clock; null while nothing is granted. */
  untilVmMs: number | null = null;

  /** The latest end in a request to which the VM has responded. */
  private confirmedUntilVmMs = 0;

  private confirmationRequestedAtVmMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: VmClock) {}

  /**
   * Extends the granted end to this time on the VM's clock; an earlier time is ignored. Returns true if the VM
   * has to be told at once, because its lease may expire before the next poll.
   */
  grantUntil(vmMs: number): boolean {
    this.untilVmMs = Math.max(this.untilVmMs ?? 0, Math.floor(vmMs));
    const nowVmMs = this.clock.lowerBoundMs() ?? 0;
    const isDue =
      this.untilVmMs > this.confirmedUntilVmMs &&
      this.confirmedUntilVmMs - nowVmMs < CONFIRMED_REST_MINIMUM_MS &&
      nowVmMs - this.confirmationRequestedAtVmMs >= CONFIRMATION_INTERVAL_MS;
    if (isDue) {
      this.confirmationRequestedAtVmMs = nowVmMs;
    }
    return isDue;
  }

  /** Records the end in a request to which the VM has responded; null if it named none. */
  confirm(untilVmMs: number | null): void {
    this.confirmedUntilVmMs = Math.max(this.confirmedUntilVmMs, untilVmMs ?? 0);
  }

  /** Limits the wait of a poll to the rest of the confirmed lease. After its end, polls wait as usual. */
  limitWaitMs(waitMs: number): number {
    const restMs = this.confirmedUntilVmMs - (this.clock.lowerBoundMs() ?? 0);
    const limitMs = Math.max(POLL_WAIT_MINIMUM_MS, Math.floor(restMs - POLL_MARGIN_MS));
    return restMs > 0 ? Math.min(waitMs, limitMs) : waitMs;
  }

  /** True from the end of the granted lease, by the lower bound of the VM's clock, to the next grant. */
  get isExpired(): boolean {
    const vmMs = this.clock.lowerBoundMs();
    return vmMs !== null && this.untilVmMs !== null && vmMs > this.untilVmMs;
  }
}
