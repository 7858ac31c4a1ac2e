/**
 * The contents of one progress transaction, what may become part of the next one, and the conversion to rows.
 */
import { countOccurrences, encodeProgress, isFinished } from '@figjunction/scheduling';
import type { JobRecord, OccurrenceRecord, VmRecord } from '@figjunction/scheduling';
import type { RowReference, RowWrite } from '@figjunction/store';
import type { Instant } from '@figjunction/time';
import type { AgentId, ProgressRow } from '@figjunction/types';
import { COMMIT_KEY, CellCollection, progressKey } from './cell-collections.js';
import { fitProgressRow, measureStoredBytes } from './progress-packing.js';

export const COMMIT_ROW = { collection: CellCollection.Cells, key: COMMIT_KEY };

/** A row that waits to be stored or removed: exactly one of the fields is set. */
export interface PendingRow {
  occurrence?: OccurrenceRecord;
  /** Id and address of a runner to register. */
  runner?: [string, string];
  /** A row of progress of a job in removal. */
  removal?: RowReference;
}

export interface StoredOccurrence {
  occurrence: OccurrenceRecord;
  row: ProgressRow;
  /** The last change of the occurrence that the row contains. */
  change: number;
}

export interface ProgressBatch {
  /** The keys of all rows of the batch among the pending rows. */
  keys: string[];
  occurrences: StoredOccurrence[];
  /** Id and address of each runner to register. */
  runners: [string, string][];
  removals: RowReference[];
  /** Each VM with the last end that was applied and the session, since another incarnation numbers its ends anew. */
  appliedEnds: [VmRecord, number, number][];
}

/** Marks a job as finished when it is cancelled or all its occurrences are stored as finished. */
export function markJobFinished(job: JobRecord, now: Instant): void {
  const hasEnded =
    job.cancelled ||
    (job.occurrences.size === countOccurrences(job) &&
      [...job.occurrences.values()].every(
        ({ storedState }) => storedState !== null && isFinished(storedState),
      ));
  if (hasEnded) {
    job.finishedAt ??= now;
  }
}

export function progressRowsOf(job: JobRecord): RowReference[] {
  return [...job.occurrences.keys()].map((index) => ({
    collection: CellCollection.Progress,
    key: progressKey(job.id, index),
  }));
}

/** Returns all rows that wait, by a key that is the same as long as they do. Rows of progress come first. */
export function listPendingRows(
  occurrences: Iterable<OccurrenceRecord>,
  runners: Iterable<[string, string]>,
  removals: Iterable<RowReference>,
): Map<string, PendingRow> {
  const pending = new Map<string, PendingRow>();
  for (const occurrence of occurrences) {
    pending.set(`progress ${progressKey(occurrence.job.id, occurrence.index)}`, { occurrence });
  }
  for (const runner of runners) {
    pending.set(`runner ${runner[0]}`, { runner });
  }
  for (const removal of removals) {
    pending.set(`removal ${removal.key}`, { removal });
  }
  return pending;
}

export interface BatchLimits {
  /** VMs that may hold runs of an earlier scheduler. */
  unreportedVms: ReadonlyMap<AgentId, unknown>;
  rowMaximumBytes: number;
  batchMaximumBytes: number;
}

/** Makes a batch of these rows, or of the first of them if they are too large together. It acknowledges no ends. */
export function fillBatch(
  pending: ReadonlyMap<string, PendingRow>,
  keys: string[],
  { unreportedVms, rowMaximumBytes, batchMaximumBytes }: BatchLimits,
): ProgressBatch {
  const batch: ProgressBatch = {
    keys: [],
    occurrences: [],
    runners: [],
    removals: [],
    appliedEnds: [],
  };
  let bytes = 0;
  for (const key of keys) {
    const { occurrence, runner, removal } = pending.get(key) ?? {};
    if (occurrence !== undefined) {
      const row = fitProgressRow(encodeProgress(occurrence, unreportedVms), rowMaximumBytes);
      bytes += measureStoredBytes(row);
      if (bytes > batchMaximumBytes && batch.keys.length > 0) {
        break;
      }
      batch.occurrences.push({ occurrence, row, change: occurrence.lastChange });
    }
    batch.runners.push(...(runner === undefined ? [] : [runner]));
    batch.removals.push(...(removal === undefined ? [] : [removal]));
    batch.keys.push(key);
  }
  return batch;
}

/** Until the outcome of a write is known, only VMs named by both the old and the new row are certainly stored. */
export function narrowStoredVms({ occurrences }: ProgressBatch): void {
  for (const { occurrence, row } of occurrences) {
    const { storedVms } = occurrence;
    occurrence.storedVms = new Set(row.runners.filter((id) => storedVms.has(id)));
  }
}

export function createRowWrites({ occurrences, runners }: ProgressBatch): RowWrite[] {
  return [
    ...occurrences.map(({ occurrence, row }) => ({
      collection: CellCollection.Progress,
      key: progressKey(occurrence.job.id, occurrence.index),
      value: row,
    })),
    ...runners.map(([id, address]) => ({
      collection: CellCollection.Runners,
      key: id,
      value: { address },
    })),
  ];
}
