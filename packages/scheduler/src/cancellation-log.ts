/**
 * Writes the lines of a cancellation that has reached the scheduler: how old it is, and which runs it stops.
 */
import type { JobRecord, RunRecord } from '@figjunction/scheduling';
import type { FeedRow } from '@figjunction/store';
import type { CellContext } from './cell-context.js';

type LogContext = Pick<CellContext, 'events' | 'storeClock'>;

/** `runs` are those that the cancellation stops, with the phases that they had before. */
export function logCancellation(
  { events, storeClock }: LogContext,
  job: JobRecord,
  row: FeedRow,
  runs: RunRecord[],
): void {
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
