/**
 * A store of versioned rows that can be watched. Rows live in collections; a transaction covers one
 * partition and may require versions of rows.
 */
export interface FeedRow<Value = unknown> {
  partition: string;
  key: string;
  version: number;
  /** Null when the row was removed. */
  value: Value | null;
}

export interface RowReference {
  collection: string;
  key: string;
}

export interface RowExpectation extends RowReference {
  /** 0 for a row that must not exist. */
  version: number;
}

export interface RowWrite extends RowReference {
  value: unknown;
}

export interface ConditionalWrite {
  partition: string;
  expected?: RowExpectation[];
  writes?: RowWrite[];
  removals?: RowReference[];
}

/** A moment on the store's own steady clock. */
export interface StoreTime {
  storeMs: number;
}

export type WriteResult = StoreTime &
  ({ committed: true; version: number } | { committed: false; conflicting: FeedRow[] });

export interface RangeResult<Value> extends StoreTime {
  rows: FeedRow<Value>[];
  /** The store's newest version at the moment of the first page. */
  version: number;
}

export interface WatchResult<Value> extends StoreTime {
  /** Null when the history from the given version on is gone and the rows must be read anew. */
  rows: FeedRow<Value>[] | null;
  version: number;
}

export interface RangeParameters {
  collection: string;
  partition: string;
  /** First key of the range; all rows when left out. */
  from?: string;
  /** End of the range, not part of it. */
  until?: string;
}

export interface WatchParameters {
  collection: string;
  afterVersion: number;
  waitMs: number;
  /** Time that the answer may take besides the wait. */
  transferMs?: number;
}

/**
 * Calls throw a `PlatformError`: with `ErrorCode.OutcomeUnknown` when a write may have
 * happened or may still happen, with any other code when it certainly had and will have no effect.
 */
export abstract class FeedStore {
  abstract write(write: ConditionalWrite): Promise<WriteResult>;

  /** Reads all pages of a range. */
  abstract readRange<Value>(parameters: RangeParameters): Promise<RangeResult<Value>>;

  /** Waits until rows of the collection change or the time is over. */
  abstract watch<Value>(parameters: WatchParameters): Promise<WatchResult<Value>>;
}
