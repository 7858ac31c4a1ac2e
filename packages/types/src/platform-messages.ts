/**
 * Shapes of the platform's table service.
 */

/** Version of a row that does not exist. */
export const ABSENT_VERSION = 0;

/** At most this many checks and writes in one transaction. */
export const TRANSACTION_ITEMS_MAXIMUM = 100;

/** At most this many rows in one page of a scan. */
export const SCAN_ROWS_MAXIMUM = 500;

export interface VersionedRow<Value> {
  key: string;
  version: number;
  value: Value;
}

export interface TableCheck {
  key: string;
  version: number;
}

export interface TableWrite {
  key: string;
  /** Version the row must have; `ABSENT_VERSION` for a row that must not exist. */
  expectedVersion: number;
  /** Null deletes the row. */
  value: unknown;
}

export interface TableTransaction {
  checks: TableCheck[];
  writes: TableWrite[];
}

export interface TransactionCommitted {
  committed: true;
  /** New versions of the written rows, in the order of the writes. */
  versions: number[];
}

export interface TransactionConflict {
  committed: false;
  failedKeys: string[];
}

export type TransactionResult = TransactionCommitted | TransactionConflict;

export interface TableScanParameters {
  prefix: string;
  /** Keys after this one; empty for the first page. */
  after: string;
  limit: number;
}

export interface TableScanResult<Value> {
  rows: VersionedRow<Value>[];
  /** Where the next page starts; null at the end. */
  nextAfter: string | null;
}
