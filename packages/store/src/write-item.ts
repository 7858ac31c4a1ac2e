/**
 * One submission to the write batcher on its way to the table.
 */
import { randomUUID } from 'node:crypto';
import type { Instant } from '@figjunction/time';
import { ABSENT_VERSION } from '@figjunction/types';
import type { Row, TableCheck, TableTransaction, VersionedRow } from '@figjunction/types';
import type { PlatformError } from './platform-error.js';

export interface WriteRequest {
  key: string;
  /** `ABSENT_VERSION` for a row that must not exist. */
  expectedVersion: number;
  /** An object, whose `writeId` the batcher sets, or null to delete the row. */
  value: object | null;
  /** Versions of other rows that must hold in the same transaction. */
  checks?: TableCheck[];
  deadline: Instant;
}

/** Version of an applied write that a later write of somebody else has replaced. No row ever has it. */
export const OVERTAKEN_VERSION = -1;

export interface WriteOutcome {
  applied: boolean;
  /** Version of the written row when applied, else of the row as it is; `ABSENT_VERSION` without one. */
  version: number;
  /** The row after the write, or as it is instead. */
  current: VersionedRow<unknown> | null;
}

export interface WriteItem {
  key: string;
  expectedVersion: number;
  /** With its write id, which is the same on every retry. */
  value: Row | null;
  checks: TableCheck[];
  deadline: Instant;
  /** A transaction with this item got no answer and may take effect late. */
  mayHaveLanded: boolean;
  /** Sent without others, because a transaction with it was refused as invalid. */
  alone: boolean;
  isSettled: boolean;
  lastError: PlatformError | null;
  resolve(outcome: WriteOutcome): void;
  reject(error: PlatformError): void;
}

/** A new submission with a write id of its own. */
export function createItem(
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
    mayHaveLanded: false,
    alone: false,
    isSettled: false,
    lastError: null,
    resolve,
    reject,
  };
}

export function transactionOf(items: WriteItem[]): TableTransaction {
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

export function checkId(check: TableCheck): string {
  return `${check.version} ${check.key}`;
}

/** Current rows by key, as a read after a transaction showed them. */
export type CurrentRows = Map<string, VersionedRow<unknown> | null>;

export function versionIn(rows: CurrentRows, key: string): number {
  return rows.get(key)?.version ?? ABSENT_VERSION;
}

/** True when the row shows the write of this item. A row that is gone shows every deletion of it. */
export function showsWrite(item: WriteItem, rows: CurrentRows): boolean {
  const row = rows.get(item.key);
  if (item.value === null) {
    return !row && item.expectedVersion !== ABSENT_VERSION;
  }
  return (row?.value as Row | undefined)?.writeId === item.value.writeId;
}

export function isUnchanged(item: WriteItem, rows: CurrentRows): boolean {
  return versionIn(rows, item.key) === item.expectedVersion;
}
