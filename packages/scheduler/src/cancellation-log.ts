/**
 * Writes the lines of a cancellation that has reached the scheduler: how old it is, and which runs it stops.
 */
import type { JobRecord, OccurrenceRecord, RunRecord } from '@figjunction/scheduling';
import type { FeedRow } from '@figjunction/store';
import type { CellContext } from './cell-context.js';

type LogContext = Pick<CellContext, 'events' | 'storeClock'>;

/** Call before the runs of the unfinished occurrences are stopped. */
export function logCancellation(
  { events, storeClock }: LogContext,
  job: JobRecord,
  row: FeedRow,
  unfinished: OccurrenceRecord[],
): void {
  const runs = unfinished.flatMap(listRuns);
  const requestedAtStoreMs = findRequestTime(row);
  const ageMs =
    requestedAtStoreMs === null ? null : Math.round(storeClock.earliest() - requestedAtStoreMs);
  const fields = { job: job.id, queue: job.policy.name, version: row.version, ageMs };
  events.write('job-cancelled', { ...fields, runs: runs.length });
  for (const { task, run, vm, phase, isSent, percent } of runs) {
    const reason = 'job-cancelled';
    events.write('run-stopped', { task: task.id, run, vm: vm.id, reason, phase, isSent, percent });
  }
}

/** The time on the store's clock at which the caller's request arrived; null if the row doesn't tell. */
function findRequestTime({ value }: FeedRow): number | null {
  const { requestedAtStoreMs } = (value ?? {}) as { requestedAtStoreMs?: unknown };
  return typeof requestedAtStoreMs === 'number' ? requestedAtStoreMs : null;
}

function listRuns({ steps }: OccurrenceRecord): RunRecord[] {
  return steps.flatMap(({ tasks }) => tasks.flatMap(({ runs }) => runs));
}
