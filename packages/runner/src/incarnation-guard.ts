/**
 * Keeps acknowledgements and leases from an incarnation of the VM that they are not meant for. A VM that has
 * restarted under the same instance id carries out the calls of an earlier session, so after a call without a
 * response only a newly requested list shows which incarnation answers.
 */
import type { Clock, Instant } from '@figjunction/time';
import type { VmAnnouncement } from '@figjunction/types';
import { HoldRefusal } from './vm-host.js';
import type { HoldRequest, HoldResult, VmHost } from './vm-host.js';

export interface IncarnationGuardOptions {
  host: VmHost;
  clock: Clock;
  /** Announcement of the incarnation that the calls are meant for. */
  announcement: VmAnnouncement;
}

export class IncarnationGuard {
  private hasConfirmed = false;

  /** A list that was requested before this time confirms nothing. */
  private confirmableFrom: Instant = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: IncarnationGuardOptions) {}

  /** False before the first list, from a failed call to the next list, and once a list is of another incarnation. */
  get isConfirmed(): boolean {
    return this.hasConfirmed;
  }

  /** Records a call without a response: the VM may have restarted. */
  recordFailure(): void {
    this.hasConfirmed = false;
    this.confirmableFrom = Math.max(this.confirmableFrom, this.options.clock.now());
  }

  /** Until a list has confirmed the incarnation, the call only lists the runs, without waiting for an end. */
  async hold(request: HoldRequest): Promise<HoldResult | HoldRefusal> {
    const { host, clock, announcement } = this.options;
    const requestedAt = clock.now();
    try {
      const listRequest = { ...request, leaseUntilVmMs: null, settledThrough: 0, waitMs: 0 };
      const result = await host.hold(this.hasConfirmed ? request : listRequest);
      if (result === HoldRefusal.OtherInstance) {
        this.recordFailure();
      } else if (result !== HoldRefusal.Fenced) {
        if (result.bornWallMs !== announcement.bornWallMs) {
          this.hasConfirmed = false;
          this.confirmableFrom = Number.POSITIVE_INFINITY;
        }
        this.hasConfirmed ||= requestedAt >= this.confirmableFrom;
      }
      return result;
    } catch (error) {
      this.recordFailure();
      throw error;
    }
  }
}
