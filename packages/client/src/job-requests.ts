/**
 * The calls about jobs and runs.
 */
import { TaskState } from '@figjunction/types';
import type { CancelledJob, JobView, RunList } from '@figjunction/types';
import type { EntryConnection } from './entry-connection.js';

const FINAL_STATES = [TaskState.Completed, TaskState.Failed, TaskState.Cancelled];

export function requestJob(entry: EntryConnection, jobId: string, team?: string): Promise<JobView> {
  return entry.call('GET', `/v1/jobs/${encodeURIComponent(jobId)}${teamQuery(team)}`);
}

export function requestCancellation(
  entry: EntryConnection,
  jobId: string,
  team?: string,
): Promise<CancelledJob> {
  const path = `/v1/jobs/${encodeURIComponent(jobId)}/cancel${teamQuery(team)}`;
  return entry.call('POST', path, {});
}

export interface RunFilter {
  team: string | undefined;
  state: TaskState | undefined;
  limit: number;
}

export function requestRuns(
  entry: EntryConnection,
  { team, state, limit }: RunFilter,
): Promise<RunList> {
  const query = new URLSearchParams({ limit: String(limit) });
  if (team !== undefined) {
    query.set('team', team);
  }
  if (state !== undefined) {
    query.set('state', state);
  }
  return entry.call('GET', `/v1/runs?${query}`);
}

export function isFinished({ tasks }: JobView): boolean {
  return tasks.every(({ state }) => FINAL_STATES.includes(state));
}

/** For example `completed 3, running 1`. */
export function formatCounts({ counts }: JobView): string {
  return Object.entries(counts)
    .map(([state, count]) => `${state} ${count}`)
    .join(', ');
}

function teamQuery(team: string | undefined): string {
  return team === undefined ? '' : `?${new URLSearchParams({ team })}`;
}
