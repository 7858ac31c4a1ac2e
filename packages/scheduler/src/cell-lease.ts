/**
 * The lease on a cell. The row holds its end on the store's clock. The holder acts only while the upper
 * bound of the store's clock is before that end. Every write of the holder requires the version of the
 * owner row (fencing), so none of its writes can take effect after another process has taken over.
 */
import { ErrorCode, errorCodeOf } from '@figjunction/errors';
import type { FeedStore, RowExpectation, StoreClock, WriteResult } from '@figjunction/store';
import type { Clock, Instant } from '@figjunction/time';
import type { CellLeaseRow, CellOwnerRow } from '@figjunction/types';
import {
  CELL_PARTITION,
  COMMIT_KEY,
  CellCollection,
  LEASE_KEY,
  OWNER_KEY,
} from './cell-collections.js';
import type { OwnerView } from './owner-directory.js';

export interface CellLeaseOptions {
  store: FeedStore;
  storeClock: StoreClock;
  clock: Clock;
  address: string;
  processId: string;
  leaseMs?: number;
  renewalIntervalMs?: number;
}

export enum RenewalOutcome {
  Renewed = 'renewed',
  NotDue = 'not-due',
  Failed = 'failed',
  /** Another process owns the cell. */
  Deposed = 'deposed',
}

const ownerReference = { collection: CellCollection.Cells, key: OWNER_KEY };
const leaseReference = { collection: CellCollection.Cells, key: LEASE_KEY };
const commitReference = { collection: CellCollection.Cells, key: COMMIT_KEY };

const DEFAULT_LEASE_MS = 3_000;
const DEFAULT_RENEWAL_INTERVAL_MS = 750;
const RENEWAL_RETRY_DELAY_MS = 200;
/** The holder stops acting this long before the end of the lease in the row. */
const LEASE_MARGIN_MS = 150;
/** A larger change of the offset between wall clock and steady clock indicates a suspended VM. */
const SUSPENSION_THRESHOLD_MS = 200;

export class CellLease {
  epoch = 0;

  /** Version of the commit row when the lease was acquired. */
  commitVersion = 0;

  private ownerVersion = 0;

  private leaseVersion = 0;

  private leasedUntilStoreMs = 0;

  private lastRenewalAt: Instant = 0;

  private wallOffsetMs = 0;

  private isRenewing = false;

  private readonly leaseMs: number;

  private readonly renewalIntervalMs: number;

  constructor(private readonly options: CellLeaseOptions) {
    this.leaseMs = options.leaseMs ?? DEFAULT_LEASE_MS;
    this.renewalIntervalMs = options.renewalIntervalMs ?? DEFAULT_RENEWAL_INTERVAL_MS;
  }

  /** True while this process holds the lease and no other process can have acquired the cell. */
  isHeld(): boolean {
    return (
      this.epoch > 0 &&
      this.options.storeClock.latest() + LEASE_MARGIN_MS < this.leasedUntilStoreMs &&
      !this.mayHaveBeenSuspended()
    );
  }

  /** The fencing condition that every write of the holder carries. */
  fencingExpectation(): RowExpectation {
    return { collection: CellCollection.Cells, key: OWNER_KEY, version: this.ownerVersion };
  }

  /**
   * Takes the cell over from the owner in the view. Returns false when the rows have changed since. Rejects on
   * store errors.
   */
  async acquire(view: OwnerView): Promise<boolean> {
    const epoch = view.highestEpoch + 1;
    const { address, processId } = this.options;
    const owner: CellOwnerRow = { epoch, address, processId };
    const result = await this.writeLease(
      [
        { ...ownerReference, version: view.ownerVersion },
        { ...leaseReference, version: view.leaseVersion },
      ],
      epoch,
      owner,
    );
    if (!result.committed) {
      return false;
    }
    this.epoch = epoch;
    this.ownerVersion = result.version;
    this.commitVersion = result.version;
    return true;
  }

  /** Extends the lease when a renewal is due. Failures of the store are returned, not thrown. */
  async renew(): Promise<RenewalOutcome> {
    const now = this.options.clock.now();
    const isDue = now - this.lastRenewalAt >= this.renewalIntervalMs || this.mayHaveBeenSuspended();
    if (this.isRenewing || !isDue) {
      return RenewalOutcome.NotDue;
    }
    this.isRenewing = true;
    try {
      const expected = [
        this.fencingExpectation(),
        { ...leaseReference, version: this.leaseVersion },
      ];
      const result = await this.writeLease(expected, this.epoch, null);
      return result.committed ? RenewalOutcome.Renewed : this.resolveConflict(result);
    } catch (error) {
      this.lastRenewalAt = now - this.renewalIntervalMs + RENEWAL_RETRY_DELAY_MS;
      if (errorCodeOf(error) === ErrorCode.OutcomeUnknown) {
        return await this.resolveUnknownOutcome();
      }
      return RenewalOutcome.Failed;
    } finally {
      this.isRenewing = false;
    }
  }

  /** Ends the lease in the store so that another process can take over at once. Rejects on store errors. */
  async release(): Promise<void> {
    const { epoch } = this;
    const expected = [this.fencingExpectation()];
    this.epoch = 0;
    this.leasedUntilStoreMs = 0;
    await this.options.store.write({
      partition: CELL_PARTITION,
      expected,
      writes: [{ ...leaseReference, value: { epoch, leasedUntilStoreMs: 0 } }],
    });
  }

  /** Drops the lease locally without writing to the store. */
  markLost(): void {
    this.epoch = 0;
    this.leasedUntilStoreMs = 0;
  }

  private async writeLease(
    expected: RowExpectation[],
    epoch: number,
    owner: CellOwnerRow | null,
  ): Promise<WriteResult> {
    const sentAt = this.options.clock.now();
    const wallOffsetMs = this.options.clock.wallTimeMs() - sentAt;
    const leasedUntilStoreMs = Math.floor(this.options.storeClock.earliest() + this.leaseMs);
    const lease: CellLeaseRow = { epoch, leasedUntilStoreMs };
    const writes = [{ ...leaseReference, value: lease as unknown }];
    if (owner !== null) {
      writes.push({ ...ownerReference, value: owner }, { ...commitReference, value: { epoch } });
    }
    const result = await this.options.store.write({ partition: CELL_PARTITION, expected, writes });
    if (result.committed) {
      this.leaseVersion = result.version;
      this.leasedUntilStoreMs = leasedUntilStoreMs;
      this.lastRenewalAt = sentAt;
      this.wallOffsetMs = wallOffsetMs;
    }
    return result;
  }

  private resolveConflict(result: WriteResult & { committed: false }): RenewalOutcome {
    const owner = result.current.find(({ key }) => key === OWNER_KEY);
    if (owner !== undefined && owner.version !== this.ownerVersion) {
      this.markLost();
      return RenewalOutcome.Deposed;
    }
    // An earlier renewal whose response was lost took effect.
    const lease = result.current.find(({ key }) => key === LEASE_KEY);
    this.leaseVersion = lease?.version ?? this.leaseVersion;
    this.lastRenewalAt = 0;
    return RenewalOutcome.Failed;
  }

  /** Reads the lease row. The next renewal expects its version, so a delayed one cannot also apply. */
  private async resolveUnknownOutcome(): Promise<RenewalOutcome> {
    try {
      const { rows } = await this.options.store.readRange({
        collection: CellCollection.Cells,
        partition: CELL_PARTITION,
      });
      return this.resolveConflict({ committed: false, current: rows, storeMs: 0 });
    } catch {
      // The next renewal resolves it: it succeeds, or its conflict returns the current version.
      return RenewalOutcome.Failed;
    }
  }

  private mayHaveBeenSuspended(): boolean {
    const { clock } = this.options;
    const offsetChangeMs = clock.wallTimeMs() - clock.now() - this.wallOffsetMs;
    return Math.abs(offsetChangeMs) > SUSPENSION_THRESHOLD_MS;
  }
}
