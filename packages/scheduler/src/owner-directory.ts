/**
 * Caches the owner of the cell and its lease as last read from the store or announced by a scheduler.
 */
import type { FeedStore, StoreClock } from '@figjunction/store';
import type { Clock, Instant } from '@figjunction/time';
import type { CellLeaseRow, CellOwnerRow } from '@figjunction/types';
import { CELL_PARTITION, CellCollection, LEASE_KEY, OWNER_KEY } from './cell-collections.js';

export interface OwnerView {
  owner: CellOwnerRow | null;
  ownerVersion: number;
  lease: CellLeaseRow | null;
  leaseVersion: number;
  /** Time on the store's clock when it served the read. */
  storeMs: number;
}

export interface OwnerDirectoryOptions {
  store: FeedStore;
  storeClock: StoreClock;
  clock: Clock;
  /** Minimum time between the starts of two reads. */
  minimumReadIntervalMs?: number;
}

const DEFAULT_MINIMUM_READ_INTERVAL_MS = 300;

export class OwnerDirectory {
  private view: OwnerView | null = null;

  private lastReadAt: Instant = Number.NEGATIVE_INFINITY;

  private pendingRead: Promise<OwnerView | null> | null = null;

  private readonly minimumReadIntervalMs: number;

  constructor(private readonly options: OwnerDirectoryOptions) {
    this.minimumReadIntervalMs = options.minimumReadIntervalMs ?? DEFAULT_MINIMUM_READ_INTERVAL_MS;
  }

  get owner(): CellOwnerRow | null {
    return this.view?.owner ?? null;
  }

  /** Records a scheduler that announced itself, unless its epoch is not higher than the known one. */
  updateOwner(owner: CellOwnerRow): void {
    if (owner.epoch > (this.owner?.epoch ?? 0)) {
      this.view = { owner, ownerVersion: 0, lease: null, leaseVersion: 0, storeMs: 0 };
    }
  }

  /** Reads the rows, or joins a read in progress. Null within the minimum interval. Rejects on store errors. */
  refresh(): Promise<OwnerView | null> {
    if (
      this.pendingRead === null &&
      this.options.clock.now() - this.lastReadAt < this.minimumReadIntervalMs
    ) {
      return Promise.resolve(null);
    }
    this.pendingRead ??= this.read().finally(() => {
      this.pendingRead = null;
    });
    return this.pendingRead;
  }

  private async read(): Promise<OwnerView> {
    this.lastReadAt = this.options.clock.now();
    const { rows, storeMs } = await this.options.store.readRange<CellOwnerRow | CellLeaseRow>({
      collection: CellCollection.Cells,
      partition: CELL_PARTITION,
    });
    const ownerRow = rows.find(({ key }) => key === OWNER_KEY);
    const leaseRow = rows.find(({ key }) => key === LEASE_KEY);
    const view: OwnerView = {
      owner: (ownerRow?.value ?? null) as CellOwnerRow | null,
      ownerVersion: ownerRow?.version ?? 0,
      lease: (leaseRow?.value ?? null) as CellLeaseRow | null,
      leaseVersion: leaseRow?.version ?? 0,
      storeMs,
    };
    if ((view.owner?.epoch ?? 0) >= (this.owner?.epoch ?? 0)) {
      this.view = view;
    }
    return view;
  }
}
