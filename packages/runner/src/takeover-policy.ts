/**
 * Decides whether this process may take the cell over from the owner recorded in the store.
 */
import type { OwnerView } from '@figjunction/scheduler';
import type { Instant } from '@figjunction/time';

/** Why the runner has no session with the scheduler. */
export enum SchedulerFailure {
  NoneKnown = 'no-scheduler-known',
  NoResponse = 'unanswered',
  /** The process at its address responds but runs no scheduler. */
  NotScheduling = 'other-process',
  /** It responds but opens no session. */
  NoSession = 'refused',
}

export interface TakeoverPolicyOptions {
  address: string;
  processId: string;
}

/**
 * Time that a responding scheduler has to renew its expired lease after an outage of the store. Waiting is
 * cheaper than a takeover: the scheduler still has its tables, a successor has to wait for every runner.
 */
const RENEWAL_GRACE_PERIOD_MS = 1_200;

export class TakeoverPolicy {
  private expiry: { leaseVersion: number; firstSeenAt: Instant } | null = null;

  constructor(private readonly options: TakeoverPolicyOptions) {}

  /** `requestedEpoch` is the epoch of the scheduler that failed; null if none was known. */
  mayTakeOver(
    { owner, lease, leaseVersion, storeMs }: OwnerView,
    failure: SchedulerFailure,
    requestedEpoch: number | null,
    now: Instant,
  ): boolean {
    const { address, processId } = this.options;
    const isPredecessor = owner?.address === address && owner.processId !== processId;
    // A process without a scheduler at the owner's address proves that the owner has stopped.
    const isReplaced =
      failure === SchedulerFailure.NotScheduling &&
      owner !== null &&
      owner.epoch === requestedEpoch;
    if (isPredecessor || isReplaced) {
      return true;
    }
    if (lease !== null && lease.leasedUntilStoreMs > storeMs) {
      return false;
    }
    if (owner === null) {
      return true;
    }
    return failure !== SchedulerFailure.NoSession || this.isGracePeriodOver(leaseVersion, now);
  }

  private isGracePeriodOver(leaseVersion: number, now: Instant): boolean {
    if (this.expiry?.leaseVersion !== leaseVersion) {
      this.expiry = { leaseVersion, firstSeenAt: now };
    }
    return now - this.expiry.firstSeenAt >= RENEWAL_GRACE_PERIOD_MS;
  }
}
