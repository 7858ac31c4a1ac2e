/**
 * What one transaction of progress holds, and how it is written.
 */
import { isFinished, occurrenceCount } from '@figjunction/scheduling';
import type { JobRecord, OccurrenceRecord, VmRecord } from '@figjunction/scheduling';
import type { RowReference, RowWrite } from '@figjunction/store';
import type { Instant } from '@figjunction/time';
import type { ProgressRow } from '@figjunction/types';
import { COMMIT_KEY, CellCollection, progressKey } from './cell-collections.js';

export const COMMIT_ROW = { collection: CellCollection.Cells, key: COMMIT_KEY };

export interface ProgressBatch {
  occurrences: { occurrence: OccurrenceRecord; row: ProgressRow }[];
  runners: [string, string][];
  removedJobs: JobRecord[];
  appliedEnds: [VmRecord, number, string][];
}

/** Notes the end of a job once all of it has ended and is stored. */
export function markJobFinished(job: JobRecord, now: Instant): void {
  const hasEnded =
    job.cancelled ||
    (job.occurrences.size === occurrenceCount(job) &&
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

/** While a row is on its way, only VMs that the rows before and after name are surely stored. */
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
