/**
 * Tells from the rows after a transaction what became of each of its items. The rows must come from one
 * read that began after the transaction ended or its answer was lost.
 */
import { ABSENT_VERSION } from '@figjunction/types';
import type { TableService } from './table-service.js';
import { isUnchanged, showsWrite, versionIn } from './write-item.js';
import type { CurrentRows, WriteItem } from './write-item.js';

export enum TransactionEnding {
  Committed = 'committed',
  Conflict = 'conflict',
  AnswerLost = 'answer-lost',
  Refused = 'refused',
}

export enum ItemFate {
  Applied = 'applied',
  /** The row or a check has another version; the write had no effect and will have none. */
  Conflict = 'conflict',
  /** The row moved on and nothing tells whether the write took effect before. */
  Unknown = 'unknown',
  /** To be sent again. */
  Pending = 'pending',
}

/** A transaction whose fate has to be read from the rows. */
export interface UnsettledTransaction {
  items: WriteItem[];
  ending: TransactionEnding.Conflict | TransactionEnding.AnswerLost;
}

/** What became of each item, in the order of the items. */
export function fatesOf({ items, ending }: UnsettledTransaction, rows: CurrentRows): ItemFate[] {
  return ending === TransactionEnding.Conflict
    ? items.map((item) => fateAfterConflict(item, rows))
    : fatesAfterLostAnswer(items, rows);
}

/** Reads the rows and the checked rows of all items in one call. */
export async function readCurrentRows(
  table: TableService,
  items: WriteItem[],
): Promise<CurrentRows> {
  const keys = items.flatMap((item) => [item.key, ...item.checks.map((check) => check.key)]);
  const distinct = [...new Set(keys)];
  const rows = await table.read(distinct);
  return new Map(distinct.map((key, index) => [key, rows[index] ?? null]));
}

/** After the table refused a transaction because of a version. */
function fateAfterConflict(item: WriteItem, rows: CurrentRows): ItemFate {
  if (isUnchanged(item, rows)) {
    const checksHold = item.checks.every((check) => versionIn(rows, check.key) === check.version);
    return checksHold ? ItemFate.Pending : ItemFate.Conflict;
  }
  if (!item.mayHaveLanded) {
    return ItemFate.Conflict;
  }
  return showsWrite(item, rows) ? ItemFate.Applied : ItemFate.Unknown;
}

/**
 * After the answer of a transaction was lost. All items of a transaction take effect together, so one
 * item that shows its write, or one that is unchanged, tells about the others. Sets `mayHaveLanded`.
 */
export function fatesAfterLostAnswer(items: WriteItem[], rows: CurrentRows): ItemFate[] {
  const committed = items.some(
    (item) => !item.mayHaveLanded && item.value !== null && showsWrite(item, rows),
  );
  // An absent row may also have been inserted and deleted again, so it proves nothing.
  const notCommitted =
    !committed &&
    items.some((item) => item.expectedVersion !== ABSENT_VERSION && isUnchanged(item, rows));
  const canStillCommit = !committed && items.every((item) => isUnchanged(item, rows));
  return items.map((item) => {
    if (committed || showsWrite(item, rows)) {
      return ItemFate.Applied;
    }
    if (isUnchanged(item, rows)) {
      item.mayHaveLanded ||= canStillCommit;
      return ItemFate.Pending;
    }
    return notCommitted && !item.mayHaveLanded ? ItemFate.Conflict : ItemFate.Unknown;
  });
}
