/**
 * An in-memory feed store for tests. Injected faults fail calls, lose responses, or delay writes.
 */
import { ErrorCode } from '@figjunction/errors';
import { FeedStore, PlatformError } from '@figjunction/store';
import type {
  ConditionalWrite,
  FeedRow,
  RangeParameters,
  RangeResult,
  WatchParameters,
  WatchResult,
  WriteResult,
} from '@figjunction/store';
import type { ManualClock } from '@figjunction/time';

export enum StoreFault {
  None = 'none',
  /** All calls fail and have no effect. */
  Unavailable = 'refuses',
  /** All calls are over the rate of the store and have no effect. */
  Throttled = 'throttles',
  /** Writes take effect, but their responses are lost. */
  LosesResponses = 'loses-answers',
  /** Writes get no response and take effect only when the test calls `applyDelayed`. */
  DelaysWrites = 'delays',
}

interface StoredRow extends FeedRow {
  collection: string;
}

export class MemoryFeedStore extends FeedStore {
  fault = StoreFault.None;

  /** The history before this version is discarded; a watch from an older version gets no rows. */
  oldestVersion = 0;

  /** Runs once before the next write, to simulate a concurrent change. */
  beforeWrite: (() => Promise<void>) | null = null;

  private readonly delayedWrites: ConditionalWrite[] = [];

  private version = 0;

  private readonly rows = new Map<string, StoredRow>();

  constructor(private readonly clock: ManualClock) {
    super();
  }

  override async write(write: ConditionalWrite): Promise<WriteResult> {
    const beforeThisWrite = this.beforeWrite;
    this.beforeWrite = null;
    await beforeThisWrite?.();
    this.throwIfUnavailable();
    if (this.fault === StoreFault.DelaysWrites) {
      this.delayedWrites.push(write);
      throw new PlatformError('no response from the store', { code: ErrorCode.OutcomeUnknown });
    }
    const result = this.apply(write);
    if (this.fault === StoreFault.LosesResponses) {
      throw new PlatformError('no response from the store', { code: ErrorCode.OutcomeUnknown });
    }
    return result;
  }

  override readRange(parameters: RangeParameters): Promise<RangeResult> {
    this.throwIfUnavailable();
    const { collection, partition, from = '', until } = parameters;
    const rows = [...this.rows.values()]
      .filter((row) => row.collection === collection && row.partition === partition)
      .filter(({ key }) => key >= from && (until === undefined || key < until))
      .filter(({ value }) => value !== null)
      .sort((left, right) => left.key.localeCompare(right.key));
    return Promise.resolve({ rows, version: this.version, storeMs: this.clock.now() });
  }

  override watch(parameters: WatchParameters): Promise<WatchResult> {
    this.throwIfUnavailable();
    const { collection, afterVersion } = parameters;
    const result = { version: this.version, storeMs: this.clock.now() };
    if (afterVersion < this.oldestVersion) {
      return Promise.resolve({ ...result, rows: null });
    }
    const rows = [...this.rows.values()].filter(
      (row) => row.collection === collection && row.version > afterVersion,
    );
    return Promise.resolve({ ...result, rows });
  }

  /** The stored value; null if there is none. */
  findValue(collection: string, partition: string, key: string): unknown {
    return this.findRow(collection, partition, key).value;
  }

  /** Applies the delayed writes whose conditions still hold. */
  applyDelayed(): void {
    this.delayedWrites.splice(0).forEach((write) => this.apply(write));
  }

  private apply({
    partition,
    expected = [],
    writes = [],
    removals = [],
  }: ConditionalWrite): WriteResult {
    const storeMs = this.clock.now();
    const current = expected.map(({ collection, key }) => this.findRow(collection, partition, key));
    if (current.some((row, index) => row.version !== expected[index]?.version)) {
      return { committed: false, current, storeMs };
    }
    this.version += 1;
    const changes = [...writes, ...removals.map((row) => ({ ...row, value: null }))];
    for (const { collection, key, value } of changes) {
      const row = { collection, partition, key, version: this.version, value };
      this.rows.set(`${collection}/${partition}/${key}`, row);
    }
    return { committed: true, version: this.version, storeMs };
  }

  private findRow(collection: string, partition: string, key: string): StoredRow {
    const row = this.rows.get(`${collection}/${partition}/${key}`);
    return row !== undefined && row.value !== null
      ? row
      : { collection, partition, key, version: 0, value: null };
  }

  private throwIfUnavailable(): void {
    if (this.fault === StoreFault.Unavailable) {
      throw new PlatformError('the store is unavailable', { code: ErrorCode.Unavailable });
    }
    if (this.fault === StoreFault.Throttled) {
      throw new PlatformError('over the rate of the store', { code: ErrorCode.Throttled });
    }
  }
}
