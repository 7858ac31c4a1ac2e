/**
 * The watches through which a scheduler learns of new and cancelled jobs.
 */
import type { JobRow } from '@figjunction/types';
import type { CellContext } from './cell-context.js';
import { CellCollection } from './cell-collections.js';
import type { LoadedCell } from './cell-loader.js';
import { CollectionWatch } from './collection-watch.js';
import type { JobIntake } from './job-intake.js';

export interface JobWatchesOptions {
  context: Pick<CellContext, 'store' | 'events' | 'clock'>;
  loaded: Pick<LoadedCell, 'jobsVersion' | 'cancellationsVersion'>;
  intake: Pick<JobIntake, 'addJobs' | 'cancelJobs'>;
  /** Requests a tick after a change of the tables. */
  wake: () => void;
}

export function createJobWatches(options: JobWatchesOptions): CollectionWatch<never>[] {
  const { context, loaded, intake, wake } = options;
  const jobs = new CollectionWatch<JobRow>({
    context,
    collection: CellCollection.Jobs,
    afterVersion: loaded.jobsVersion,
    onRows: (rows) => {
      intake.addJobs(rows, false, context.clock.now());
      wake();
    },
  });
  const cancellations = new CollectionWatch({
    context,
    collection: CellCollection.Cancellations,
    afterVersion: loaded.cancellationsVersion,
    onRows: (rows) => {
      intake.cancelJobs(rows, context.clock.now());
      wake();
    },
  });
  return [jobs, cancellations] as CollectionWatch<never>[];
}
