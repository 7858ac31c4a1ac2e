/**
 * Reads the rows of a cell from the store when a process takes the cell over.
 */
import type { FeedRow, FeedStore } from '@figjunction/store';
import type { AgentId, JobRow, ProgressRow, RunnerRow } from '@figjunction/types';
import type { CellContext } from './cell-context.js';
import { CELL_PARTITION, CellCollection, jobPartitions } from './cell-collections.js';
import { jobRowSchema, progressRowSchema, runnerRowSchema } from './row-schemas.js';
import { StoredRows } from './stored-rows.js';

type LoadContext = Pick<CellContext, 'store' | 'events'>;

export interface LoadedCell {
  jobs: FeedRow<JobRow>[];
  /** Version of the store after which the watch of jobs starts. */
  jobsVersion: number;
  cancellations: FeedRow[];
  cancellationsVersion: number;
  progress: FeedRow<ProgressRow>[];
  /** Keys of the rows of progress that can't be read, so that it is unknown which tasks are done. */
  unreadableProgress: string[];
  runners: FeedRow<RunnerRow>[];
}

export async function loadCell({ store, events }: LoadContext): Promise<LoadedCell> {
  const range = { partition: CELL_PARTITION };
  const [progress, runners, jobs, cancellations] = await Promise.all([
    store.readRange({ collection: CellCollection.Progress, ...range }),
    store.readRange({ collection: CellCollection.Runners, ...range }),
    readJobPartitions(store, CellCollection.Jobs),
    readJobPartitions(store, CellCollection.Cancellations),
  ]);
  const rows = new StoredRows(events);
  const progressRows = rows.decode(CellCollection.Progress, progress.rows, progressRowSchema);
  return {
    jobs: rows.decode(CellCollection.Jobs, jobs.rows, jobRowSchema),
    jobsVersion: jobs.version,
    cancellations: cancellations.rows,
    cancellationsVersion: cancellations.version,
    progress: progressRows,
    unreadableProgress: findUnreadableKeys(progress.rows, progressRows),
    runners: rows.decode(CellCollection.Runners, runners.rows, runnerRowSchema),
  };
}

function findUnreadableKeys(rows: FeedRow[], readableRows: FeedRow[]): string[] {
  const readableKeys = new Set(readableRows.map(({ key }) => key));
  return rows.map(({ key }) => key).filter((key) => !readableKeys.has(key));
}

/**
 * Ids of the runners that may have runs by the stored progress. Their own rows may be unreadable, and their VMs may
 * run tasks all the same.
 */
export function listRunnersWithRuns({ progress }: Pick<LoadedCell, 'progress'>): Set<AgentId> {
  return new Set(progress.flatMap(({ value }) => value?.runners ?? []));
}

/**
 * Reads a collection from all job partitions. The version is the lowest one read, so a watch from it misses
 * no change.
 */
export async function readJobPartitions(
  store: FeedStore,
  collection: CellCollection,
): Promise<{ rows: FeedRow[]; version: number }> {
  const parts = await Promise.all(
    jobPartitions().map((partition) => store.readRange({ collection, partition })),
  );
  return {
    rows: parts.flatMap(({ rows }) => rows),
    version: Math.min(...parts.map(({ version }) => version)),
  };
}
