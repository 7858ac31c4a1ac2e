/**
 * The watches through which a scheduler learns of new and cancelled jobs.
 */
import type { CancellationFreshness } from './cancellation-freshness.js';
import type { CellContext } from './cell-context.js';
import { CellCollection } from './cell-collections.js';
import type { LoadedCell } from './cell-loader.js';
import { CollectionWatch } from './collection-watch.js';
import type { JobIntake } from './job-intake.js';
import { jobRowSchema } from './row-schemas.js';
import { StoredRows } from './stored-rows.js';

export interface JobWatchesOptions {
  context: Pick<CellContext, 'store' | 'events' | 'clock'>;
  loaded: Pick<LoadedCell, 'jobsVersion' | 'cancellationsVersion'>;
  intake: Pick<JobIntake, 'addJobs' | 'cancelJobs'>;
  freshness: Pick<CancellationFreshness, 'confirm'>;
  /** Requests a tick after a change of the tables. */
  wake: () => void;
}

export function createJobWatches(options: JobWatchesOptions): CollectionWatch[] {
  const { context, loaded, intake, freshness, wake } = options;
  const storedRows = new StoredRows(context.events);
  const jobs = new CollectionWatch({
    context,
    collection: CellCollection.Jobs,
    afterVersion: loaded.jobsVersion,
    onRows: (rows) => {
      const jobRows = storedRows.decode(CellCollection.Jobs, rows, jobRowSchema);
      intake.addJobs(jobRows, false, context.clock.now());
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
    onConfirmed: (until) => freshness.confirm(until),
  });
  return [jobs, cancellations];
}
