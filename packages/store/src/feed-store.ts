/**
 * Interface of a store of versioned rows with a change feed. Rows belong to collections. A transaction is
 * limited to one partition and can be conditional on row versions.
 */
export interface FeedRow<Value = unknown> {
  partition: string;
  key: string;
  version: number;
  /** Null when the row has been deleted. Read from the store, it may be anything that another writer has stored. */
  value: Value | null;
}

export interface RowReference {
  collection: string;
  key: string;
}

export interface RowExpectation extends RowReference {
  /** Required version; 0 when the row must not exist. */
  version: number;
}

export interface RowWrite extends RowReference {
  value: unknown;
}

/** A transaction that commits only when every row in `expected` has the given version. */
export interface ConditionalWrite {
  partition: string;
  expected?: RowExpectation[];
  writes?: RowWrite[];
  removals?: RowReference[];
}

export interface StoreTime {
  /** Time on the store's monotonic clock when it handled the call, in milliseconds. */
  storeMs: number;
}

export type WriteResult = StoreTime &
  (
    | { committed: true; version: number }
    | {
        committed: false;
        /** All rows in `expected` as they are now, also those whose versions matched. */
        current: FeedRow[];
      }
  );

export interface RangeResult extends StoreTime {
  rows: FeedRow[];
  /** The latest version in the store when the first page was read. */
  version: number;
}

export interface WatchResult extends StoreTime {
  /** Changed rows. Null when the store no longer has the changes since `afterVersion`: read the range again. */
  rows: FeedRow[] | null;
  version: number;
}

/** How a read is made that others of the same may accompany. */
export interface ReadOptions {
  /** Gives the read up. */
  signal?: AbortSignal;
  /** Uses a connection of its own, because the pooled ones may have gone silent. */
  newConnection?: boolean;
}

export interface RangeParameters extends ReadOptions {
  collection: string;
  partition: string;
  /** First key of the range, inclusive; defaults to the first row of the partition. */
  from?: string;
  /** End of the range, exclusive; defaults to the end of the partition. */
  until?: string;
  /** Time allowed for the request and the response of each page. */
  transferMs?: number;
}

export interface WatchParameters extends ReadOptions {
  collection: string;
  afterVersion: number;
  /** How long the store waits for a change before it returns an empty result. */
  waitMs: number;
  /** Time allowed for the request and the response, in addition to `waitMs`. */
  transferMs?: number;
}

/**
 * A failed call throws a `PlatformError`. `ErrorCode.OutcomeUnknown` means that a write may have taken effect
 * or may still do so; any other code means that it had no effect and never will.
 */
export abstract class FeedStore {
  /** Commits the transaction, or returns the current rows of all expected rows when a version did not match. */
  abstract write(write: ConditionalWrite): Promise<WriteResult>;

  /** Reads all pages of a range. */
  abstract readRange(parameters: RangeParameters): Promise<RangeResult>;

  /** Returns the rows that changed after a version; waits for a change for up to `waitMs`. */
  abstract watch(parameters: WatchParameters): Promise<WatchResult>;
}
