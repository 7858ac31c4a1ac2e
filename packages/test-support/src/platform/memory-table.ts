/**
 * The table of the fake platform, in memory. Versions rise over the whole table, so that a row that was
 * deleted and written again never shows an old version.
 */
import { ABSENT_VERSION, SCAN_ROWS_MAXIMUM, TRANSACTION_ITEMS_MAXIMUM } from '@figjunction/types';
import type {
  TableCheck,
  TableScanParameters,
  TableScanResult,
  TableTransaction,
  TableWrite,
  TransactionResult,
  VersionedRow,
} from '@figjunction/types';
import { ErrorCode, FigjunctionError } from '@figjunction/errors';

/** A call that breaks the table's rules. */
export class FakeTableError extends FigjunctionError {}

export class MemoryTable {
  private readonly rows = new Map<string, VersionedRow<unknown>>();

  private lastVersion = ABSENT_VERSION;

  read(keys: string[]): (VersionedRow<unknown> | null)[] {
    return keys.map((key) => structuredClone(this.rows.get(key) ?? null));
  }

  scan(parameters: TableScanParameters): TableScanResult<unknown> {
    const { prefix, after } = parameters;
    const limit = Math.min(parameters.limit, SCAN_ROWS_MAXIMUM);
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && key > after);
    keys.sort();
    const page = keys.slice(0, limit);
    const rows = this.read(page) as VersionedRow<unknown>[];
    return { rows, nextAfter: keys.length > limit ? (page[page.length - 1] ?? null) : null };
  }

  /** Applies all writes or none. */
  transact(transaction: TableTransaction): TransactionResult {
    const { checks, writes } = transaction;
    checkShape(checks, writes);
    const failedKeys = [
      ...checks.filter((check) => this.versionOf(check.key) !== check.version),
      ...writes.filter((write) => this.versionOf(write.key) !== write.expectedVersion),
    ].map((item) => item.key);
    if (failedKeys.length > 0) {
      return { committed: false, failedKeys: [...new Set(failedKeys)] };
    }
    return { committed: true, versions: writes.map((write) => this.apply(write)) };
  }

  private versionOf(key: string): number {
    return this.rows.get(key)?.version ?? ABSENT_VERSION;
  }

  private apply(write: TableWrite): number {
    this.lastVersion += 1;
    if (write.value === null) {
      this.rows.delete(write.key);
      return ABSENT_VERSION;
    }
    const row = { key: write.key, version: this.lastVersion, value: structuredClone(write.value) };
    this.rows.set(write.key, row);
    return row.version;
  }
}

function checkShape(checks: TableCheck[], writes: TableWrite[]): void {
  const items = checks.length + writes.length;
  if (items > TRANSACTION_ITEMS_MAXIMUM) {
    throw new FakeTableError(`a transaction holds ${items} items`, { code: ErrorCode.TooLarge });
  }
  if (new Set(writes.map((write) => write.key)).size !== writes.length) {
    throw new FakeTableError('a transaction writes one key twice', {
      code: ErrorCode.InvalidInput,
    });
  }
}
