/**
 * Reads the rows of a cell from the store when a process takes the cell over.
 */
import type { FeedRow, FeedStore } from '@figjunction/store';
import type { JobRow, ProgressRow, RunnerRow } from '@figjunction/types';
import type { CellContext } from './cell-context.js';
import { CELL_PARTITION, CellCollection, jobPartitions } from './cell-collections.js';

export interface LoadedCell {
  jobs: FeedRow<JobRow>[];
  /** Version of the store after which the watch of jobs starts. */
  jobsVersion: number;
  cancellations: FeedRow[];
  cancellationsVersion: number;
  progress: FeedRow<ProgressRow>[];
  runners: FeedRow<RunnerRow>[];
}

export async function loadCell({ store }: CellContext): Promise<LoadedCell> {
  const range = { partition: CELL_PARTITION };
  const [progress, runners, jobs, cancellations] = await Promise.all([
    store.readRange<ProgressRow>({ collection: CellCollection.Progress, ...range }),
    store.readRange<RunnerRow>({ collection: CellCollection.Runners, ...range }),
    readJobPartitions<JobRow>(store, CellCollection.Jobs),
    readJobPartitions(store, CellCollection.Cancellations),
  ]);
  return {
    jobs: jobs.rows,
    jobsVersion: jobs.version,
    cancellations: cancellations.rows,
    cancellationsVersion: cancellations.version,
    progress: progress.rows,
    runners: runners.rows,
  };
}

/**
 * Reads a collection from all job partitions. The version is the lowest one read, so a watch from it misses
 * no change.
 */
export async function readJobPartitions<Value>(
  store: FeedStore,
  collection: CellCollection,
): Promise<{ rows: FeedRow<Value>[]; version: number }> {
  const parts = await Promise.all(
    jobPartitions().map((partition) => store.readRange<Value>({ collection, partition })),
  );
  return {
    rows: parts.flatMap(({ rows }) => rows),
    version: Math.min(...parts.map(({ version }) => version)),
  };
}
