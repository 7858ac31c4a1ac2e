/**
 * The contents of one progress transaction, what may become part of the next one, and the conversion to rows.
 */
import { countOccurrences, encodeProgress, isFinished } from '@figjunction/scheduling';
import type { JobRecord, OccurrenceRecord } from '@figjunction/scheduling';
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
  /** True if `HELD_ROW` is written in place of the row, which the store refuses. */
  isHeld: boolean;
}

export interface ProgressBatch {
  /** The keys of all rows of the batch among the pending rows. */
  keys: string[];
  occurrences: StoredOccurrence[];
  /** Id and address of each runner to register. */
  runners: [string, string][];
  removals: RowReference[];
}

/** Is no row of progress, so that a scheduler that loads it starts no task of the occurrence. */
const HELD_ROW = { held: true };

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

/**
 * Returns all rows that wait, by a key that is the same as long as they do, in the order in which they are stored.
 * Registrations come first: they are few, and rows of progress may wait all the time, more than one transaction takes.
 */
export function listPendingRows(
  occurrences: Iterable<OccurrenceRecord>,
  runners: Iterable<[string, string]>,
  removals: Iterable<RowReference>,
): Map<string, PendingRow> {
  const pending = new Map<string, PendingRow>();
  for (const runner of runners) {
    pending.set(`runner ${runner[0]}`, { runner });
  }
  for (const occurrence of occurrences) {
    pending.set(`progress ${progressKey(occurrence.job.id, occurrence.index)}`, { occurrence });
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
  /** The row of progress under this key is replaced by one that keeps its tasks from starting. */
  heldKey: string | null;
}

/** Makes a batch of these rows, or of the first of them if they are too large together. */
export function fillBatch(
  pending: ReadonlyMap<string, PendingRow>,
  keys: string[],
  { unreportedVms, rowMaximumBytes, batchMaximumBytes, heldKey }: BatchLimits,
): ProgressBatch {
  const batch: ProgressBatch = {
    keys: [],
    occurrences: [],
    runners: [],
    removals: [],
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
      const { lastChange: change } = occurrence;
      batch.occurrences.push({ occurrence, row, change, isHeld: key === heldKey });
    }
    batch.runners.push(...(runner === undefined ? [] : [runner]));
    batch.removals.push(...(removal === undefined ? [] : [removal]));
    batch.keys.push(key);
  }
  return batch;
}

/**
 * Until the outcome of a write is known, only what both the old and the new row contain is certainly stored: the VMs
 * that both name, and the changes that the new row has.
 */
export function narrowStored({ occurrences }: ProgressBatch): void {
  for (const { occurrence, row, change } of occurrences) {
    const { storedVms } = occurrence;
    occurrence.storedChange = Math.min(occurrence.storedChange, change);
    occurrence.storedVms = new Set(row.runners.filter((id) => storedVms.has(id)));
  }
}

export function createRowWrites({ occurrences, runners }: ProgressBatch): RowWrite[] {
  return [
    ...occurrences.map(({ occurrence, row, isHeld }) => ({
      collection: CellCollection.Progress,
      key: progressKey(occurrence.job.id, occurrence.index),
      value: isHeld ? HELD_ROW : row,
    })),
    ...runners.map(([id, address]) => ({
      collection: CellCollection.Runners,
      key: id,
      value: { address },
    })),
  ];
}
