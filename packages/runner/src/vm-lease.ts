/**
 * The lease of a VM: the end that the scheduler has granted, the end that the VM has confirmed, and whether the
 * lease has expired. After an expiry, the runner must not extend the lease, start runs or report until a new list
 * shows which ends precede the expiry.
 */
import type { VmClock } from './vm-clock.js';
import type { HoldResult } from './vm-host.js';

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
/**
 * A VM under load may end its runs this much later than the lease does. Ends that it lists before then may still be
 * acknowledged under a lease that it extends in time by its own account.
 */
const EXPIRY_MARGIN_MS = 200;

export class VmLease {
  /** End of the lease on the VM's clock; null while nothing is granted. */
  untilVmMs: number | null = null;

  /** The lease has expired and no list requested since then has been applied. */
  isExpired = false;

  /** Number of expiries so far, which tells them apart. */
  expiryCount = 0;

  /** End on the VM's clock of the lease that has expired last. */
  expiredUntilVmMs = 0;

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

  /**
   * Marks the lease as expired if the lower bound of the VM's clock is past its end.
   * Returns true until `clearExpiry` is called.
   */
  checkExpiry(): boolean {
    const vmMs = this.clock.lowerBoundMs();
    if (vmMs !== null && this.untilVmMs !== null && vmMs > this.untilVmMs) {
      this.expiredUntilVmMs = this.untilVmMs;
      this.expiryCount += 1;
      this.isExpired = true;
      this.untilVmMs = null;
    }
    return this.isExpired;
  }

  /**
   * True if a list that was requested after this expiry shows it by the VM's own account: nothing has extended the
   * lease, the VM's clock is past its end, and nothing runs any more.
   */
  isExpiryShownBy(
    { vmClockMs, running }: Pick<HoldResult, 'vmClockMs' | 'running'>,
    expiryCount: number | null,
  ): boolean {
    const isPastEnd = vmClockMs >= this.expiredUntilVmMs + EXPIRY_MARGIN_MS;
    return this.isExpired && this.expiryCount === expiryCount && isPastEnd && running.length === 0;
  }

  /** Call after applying a list that was requested after the expiry and shows it. */
  clearExpiry(): void {
    this.isExpired = false;
  }
}
