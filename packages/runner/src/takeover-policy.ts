/**
 * Decides whether this process may take the cell over from the owner that the store shows.
 */
import type { OwnerView } from '@figjunction/scheduler';
import type { Instant } from '@figjunction/time';

/** Why the scheduler is not heard. */
export enum Silence {
  Unknown = 'no-scheduler-known',
  Unanswered = 'unanswered',
  /** The process at its address does not schedule. */
  OtherProcess = 'other-process',
  /** It answers, but gives no session. */
  Refused = 'refused',
}

export interface SuccessionOptions {
  address: string;
  processId: string;
}

/**
 * A scheduler that still answers gets this long to renew its lease after the store is back. It keeps its
 * tables, while a successor has to wait for every runner.
 */
const RENEWAL_GRACE_MS = 1_200;

export class Succession {
  private expiry: { leaseVersion: number; seenAt: Instant } | null = null;

  constructor(private readonly options: SuccessionOptions) {}

  /** `silentEpoch` is the epoch of the scheduler that was not heard. */
  mayTakeOver(
    { owner, lease, leaseVersion, storeMs }: OwnerView,
    silence: Silence,
    silentEpoch: number | null,
    now: Instant,
  ): boolean {
    const { address, processId } = this.options;
    const isPredecessor = owner?.address === address && owner.processId !== processId;
    // Another process at the owner's address proves that the owner has ended.
    const isReplaced = silence === Silence.OtherProcess && owner?.epoch === silentEpoch;
    if (owner === null || isPredecessor || isReplaced) {
      return true;
    }
    if (lease !== null && lease.leasedUntilStoreMs > storeMs) {
      return false;
    }
    return silence !== Silence.Refused || this.isGraceOver(leaseVersion, now);
  }

  private isGraceOver(leaseVersion: number, now: Instant): boolean {
    if (this.expiry?.leaseVersion !== leaseVersion) {
      this.expiry = { leaseVersion, seenAt: now };
    }
    return now - this.expiry.seenAt >= RENEWAL_GRACE_MS;
  }
}
