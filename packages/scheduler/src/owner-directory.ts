/**
 * Caches the owner of the cell and its lease as last read from the store or announced by a scheduler.
 */
import type { EventLog } from '@figjunction/logger';
import type { FeedRow, FeedStore, StoreClock } from '@figjunction/store';
import type { Clock, Instant } from '@figjunction/time';
import type { CellLeaseRow, CellOwnerRow } from '@figjunction/types';
import {
  CELL_PARTITION,
  COMMIT_KEY,
  CellCollection,
  LEASE_KEY,
  OWNER_KEY,
} from './cell-collections.js';
import { commitRowSchema, leaseRowSchema, ownerRowSchema } from './row-schemas.js';
import { StoredRows } from './stored-rows.js';

export interface OwnerView {
  /** Null if there is none, or if its row can't be read. */
  owner: CellOwnerRow | null;
  ownerVersion: number;
  lease: CellLeaseRow | null;
  leaseVersion: number;
  /** The highest epoch that any row of the cell has named, also before the owner row became unreadable. */
  highestEpoch: number;
  /** Time on the store's clock when it served the read. */
  storeMs: number;
}

export interface OwnerDirectoryOptions {
  store: FeedStore;
  storeClock: StoreClock;
  clock: Clock;
  events: Pick<EventLog, 'write'>;
  /** Minimum time between the starts of two reads. */
  minimumReadIntervalMs?: number;
}

const DEFAULT_MINIMUM_READ_INTERVAL_MS = 300;

export class OwnerDirectory {
  private view: OwnerView | null = null;

  private lastReadAt: Instant = Number.NEGATIVE_INFINITY;

  private highestEpoch = 0;

  private readonly storedRows: StoredRows;

  private pendingRead: Promise<OwnerView | null> | null = null;

  private readonly minimumReadIntervalMs: number;

  constructor(private readonly options: OwnerDirectoryOptions) {
    this.storedRows = new StoredRows(options.events);
    this.minimumReadIntervalMs = options.minimumReadIntervalMs ?? DEFAULT_MINIMUM_READ_INTERVAL_MS;
  }

  get owner(): CellOwnerRow | null {
    return this.view?.owner ?? null;
  }

  /** Records a scheduler that announced itself, unless its epoch is not higher than the known one. */
  updateOwner(owner: CellOwnerRow): void {
    if (owner.epoch > (this.owner?.epoch ?? 0)) {
      this.highestEpoch = Math.max(this.highestEpoch, owner.epoch);
      const { highestEpoch } = this;
      this.view = {
        owner,
        ownerVersion: 0,
        lease: null,
        leaseVersion: 0,
        highestEpoch,
        storeMs: 0,
      };
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
    const collection = CellCollection.Cells;
    const range = { collection, partition: CELL_PARTITION };
    const { rows, storeMs } = await this.options.store.readRange(range);
    const findRow = (wanted: string): FeedRow | undefined => rows.find(({ key }) => key === wanted);
    const { storedRows } = this;
    const ownerRow = findRow(OWNER_KEY);
    const leaseRow = findRow(LEASE_KEY);
    const owner = storedRows.decodeValue(collection, ownerRow, ownerRowSchema);
    const lease = storedRows.decodeValue(collection, leaseRow, leaseRowSchema);
    const commit = storedRows.decodeValue(collection, findRow(COMMIT_KEY), commitRowSchema);
    const epochs = [owner, lease, commit].map((row) => row?.epoch ?? 0);
    this.highestEpoch = Math.max(this.highestEpoch, ...epochs);
    const view: OwnerView = {
      owner,
      ownerVersion: ownerRow?.version ?? 0,
      lease,
      leaseVersion: leaseRow?.version ?? 0,
      highestEpoch: this.highestEpoch,
      storeMs,
    };
    if ((view.owner?.epoch ?? 0) >= (this.owner?.epoch ?? 0)) {
      this.view = view;
    }
    return view;
  }
}
