/**
 * A write submitted to the batcher, and checks of its state against the rows of the table.
 */
import { randomUUID } from 'node:crypto';
import type { Instant } from '@figjunction/time';
import { ABSENT_VERSION } from '@figjunction/types';
import type { Row, TableCheck, TableTransaction, VersionedRow } from '@figjunction/types';
import type { PlatformError } from './platform-error.js';

/** A conditional write of one row. */
export interface WriteRequest {
  key: string;
  /** Version that the row must have; `ABSENT_VERSION` when it must not exist. */
  expectedVersion: number;
  /** The new value, to which the batcher adds a `writeId`, or null to delete the row. */
  value: object | null;
  /** Versions that other rows must have in the same transaction. */
  checks?: TableCheck[];
  deadline: Instant;
}

/** Reported as the version of an applied write that another client has since overwritten. No row has it. */
export const SUPERSEDED_VERSION = -1;

export interface WriteOutcome {
  applied: boolean;
  /** Version of the row after the write, or of the unmodified row; `ABSENT_VERSION` without a row. */
  version: number;
  /** The row after the write, or the unmodified row when the write was not applied; null without a row. */
  current: VersionedRow<unknown> | null;
}

/** A submitted write and its state in the batcher. */
export interface WriteItem {
  key: string;
  expectedVersion: number;
  /** Includes the write id, which stays the same on every retry. */
  value: Row | null;
  checks: TableCheck[];
  deadline: Instant;
  /** True after a transaction with this item got no response and was still able to commit later. */
  mayHaveCommitted: boolean;
  /** True after a transaction with this item was rejected as invalid; the item is then sent on its own. */
  isSentAlone: boolean;
  isSettled: boolean;
  lastError: PlatformError | null;
  resolve(outcome: WriteOutcome): void;
  reject(error: PlatformError): void;
}

/** Creates an unsettled item with a new write id. */
export function createWriteItem(
  { key, expectedVersion, value, checks = [], deadline }: WriteRequest,
  resolve: WriteItem['resolve'],
  reject: WriteItem['reject'],
): WriteItem {
  return {
    key,
    expectedVersion,
    value: value === null ? null : { ...value, writeId: randomUUID() },
    checks,
    deadline,
    mayHaveCommitted: false,
    isSentAlone: false,
    isSettled: false,
    lastError: null,
    resolve,
    reject,
  };
}

/** Combines the writes of all items and their checks, without duplicate checks. */
export function buildTransaction(items: WriteItem[]): TableTransaction {
  return {
    checks: distinctChecks(items),
    writes: items.map(({ key, expectedVersion, value }) => ({ key, expectedVersion, value })),
  };
}

function distinctChecks(items: WriteItem[]): TableCheck[] {
  const byKey = new Map(
    items.flatMap((item) => item.checks).map((check) => [checkId(check), check]),
  );
  return [...byKey.values()];
}

/** Identifies a check by its key and version, to detect duplicates. */
export function checkId(check: TableCheck): string {
  return `${check.version} ${check.key}`;
}

/** Rows by key, as read after a transaction; null for a row that does not exist. */
export type CurrentRows = Map<string, VersionedRow<unknown> | null>;

export function currentVersion(rows: CurrentRows, key: string): number {
  return rows.get(key)?.version ?? ABSENT_VERSION;
}

/** True when the row has the item's write id. An absent row counts as the result of any deletion of it. */
export function isWriteVisible(item: WriteItem, rows: CurrentRows): boolean {
  const row = rows.get(item.key);
  if (item.value === null) {
    return !row && item.expectedVersion !== ABSENT_VERSION;
  }
  return (row?.value as Row | undefined)?.writeId === item.value.writeId;
}

/** True when the row still has the version that the item expects. */
export function isUnchanged(item: WriteItem, rows: CurrentRows): boolean {
  return currentVersion(rows, item.key) === item.expectedVersion;
}
