/**
 * Reads a cell from the store when a process takes it over.
 */
import type { FeedRow } from '@figjunction/store';
import type { JobRow, ProgressRow, RunnerRow } from '@figjunction/types';
import type { CellContext } from './cell-context.js';
import { CELL_PARTITION, CellCollection } from './cell-tables.js';

export interface LoadedCell {
  jobs: FeedRow<JobRow>[];
  /** Where the watch of jobs starts. */
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
    store.readRange<JobRow>({ collection: CellCollection.Jobs, ...range }),
    store.readRange({ collection: CellCollection.Cancellations, ...range }),
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
