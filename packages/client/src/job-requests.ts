/**
 * The calls about jobs and runs, with the shapes of their answers.
 */
import { TaskState } from '@figjunction/types';
import type { EntryConnection } from './entry-connection.js';

export interface RunView {
  taskId: string;
  jobId: string;
  team: string;
  kind: string;
  urgency: string;
  state: TaskState;
  attempt: number;
  holder: string | null;
  failures: number;
  evictions: number;
  reason: string | null;
  decision: string | null;
}

export interface JobAnswer {
  jobId: string;
  team: string;
  kind: string;
  counts: Partial<Record<TaskState, number>>;
  tasks: RunView[];
}

const FINAL_STATES = [TaskState.Completed, TaskState.Failed, TaskState.Cancelled];

export function requestJob(
  entry: EntryConnection,
  jobId: string,
  team?: string,
): Promise<JobAnswer> {
  const query = team === undefined ? '' : `?${new URLSearchParams({ team })}`;
  return entry.call('GET', `/v1/jobs/${encodeURIComponent(jobId)}${query}`);
}

export function isFinished({ tasks }: JobAnswer): boolean {
  return tasks.every(({ state }) => FINAL_STATES.includes(state));
}

/** For example `completed 3, running 1`. */
export function formatCounts({ counts }: JobAnswer): string {
  return Object.entries(counts)
    .map(([state, count]) => `${state} ${count}`)
    .join(', ');
}
