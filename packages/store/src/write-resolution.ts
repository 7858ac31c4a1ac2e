/**
 * Determines the outcome of each item of a transaction from the current rows. All rows must come from one read
 * that started after the transaction failed or its response was lost.
 */
import { ABSENT_VERSION } from '@figjunction/types';
import type { TableService } from './table-service.js';
import { currentVersion, isUnchanged, isWriteVisible } from './write-item.js';
import type { CurrentRows, WriteItem } from './write-item.js';

export enum TransactionOutcome {
  Committed = 'committed',
  Conflict = 'conflict',
  ResponseLost = 'answer-lost',
  Rejected = 'refused',
}

export enum ItemOutcome {
  Applied = 'applied',
  /** The row or a checked row has another version; the write had no effect and never will. */
  Conflict = 'conflict',
  /** The row has changed and nothing shows whether the write took effect before the change. */
  Unknown = 'unknown',
  /** The item must be sent again. */
  Pending = 'pending',
}

/** A transaction whose item outcomes have to be determined from the current rows. */
export interface UnresolvedTransaction {
  items: WriteItem[];
  outcome: TransactionOutcome.Conflict | TransactionOutcome.ResponseLost;
}

/** Returns the outcome of each item, in the order of the items. */
export function determineOutcomes(
  { items, outcome }: UnresolvedTransaction,
  rows: CurrentRows,
): ItemOutcome[] {
  return outcome === TransactionOutcome.Conflict
    ? items.map((item) => determineOutcomeAfterConflict(item, rows))
    : determineOutcomesAfterLostResponse(items, rows);
}

/** Reads the written and the checked rows of all items in one call. */
export async function readCurrentRows(
  table: TableService,
  items: WriteItem[],
): Promise<CurrentRows> {
  const keys = items.flatMap((item) => [item.key, ...item.checks.map((check) => check.key)]);
  const distinct = [...new Set(keys)];
  const rows = await table.read(distinct);
  return new Map(distinct.map((key, index) => [key, rows[index] ?? null]));
}

/** Outcome of an item after the table rejected the transaction because a version did not match. */
function determineOutcomeAfterConflict(item: WriteItem, rows: CurrentRows): ItemOutcome {
  if (isUnchanged(item, rows)) {
    const checksHold = item.checks.every(
      (check) => currentVersion(rows, check.key) === check.version,
    );
    return checksHold ? ItemOutcome.Pending : ItemOutcome.Conflict;
  }
  if (!item.mayHaveCommitted) {
    return ItemOutcome.Conflict;
  }
  return isWriteVisible(item, rows) ? ItemOutcome.Applied : ItemOutcome.Unknown;
}

/**
 * Outcomes of the items after the response of a transaction was lost. All items commit together, so one visible
 * write proves that all took effect, and one unchanged row proves that none has. While all rows are unchanged,
 * the transaction may still commit, and `mayHaveCommitted` is set on its items.
 */
export function determineOutcomesAfterLostResponse(
  items: WriteItem[],
  rows: CurrentRows,
): ItemOutcome[] {
  const committed = items.some(
    (item) => !item.mayHaveCommitted && item.value !== null && isWriteVisible(item, rows),
  );
  // A row that was absent and still is proves nothing: it may have been inserted and deleted again.
  const notCommitted =
    !committed &&
    items.some((item) => item.expectedVersion !== ABSENT_VERSION && isUnchanged(item, rows));
  const canStillCommit = !committed && items.every((item) => isUnchanged(item, rows));
  return items.map((item) => {
    if (committed || isWriteVisible(item, rows)) {
      return ItemOutcome.Applied;
    }
    if (isUnchanged(item, rows)) {
      item.mayHaveCommitted ||= canStillCommit;
      return ItemOutcome.Pending;
    }
    return notCommitted && !item.mayHaveCommitted ? ItemOutcome.Conflict : ItemOutcome.Unknown;
  });
}
