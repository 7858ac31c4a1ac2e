/**
 * Reads tasks from the table for callers and operators; any entry can answer.
 */
import { SCAN_ROWS_MAXIMUM, TASK_PREFIX, TaskState } from '@figjunction/types';
import type { RunView, TaskRow } from '@figjunction/types';
import { configurationOf } from './task-context.js';
import type { TaskContext } from './task-context.js';
import type { TaskEntry } from './task-table.js';
import { jobKeyPrefix, teamKeyPrefix } from './task-identifiers.js';

/** Pages that one listing may read, so that it cannot use up the table's read limit. */
const PAGES_MAXIMUM = 40;
const PREFIXES_AT_ONCE = 16;

export interface RunFilter {
  team: string | null;
  state: TaskState | null;
  limit: number;
}

export function viewOf({ value }: TaskEntry): RunView {
  const { taskId, jobId, team, kind, urgency, state, attempt, failures, evictions } = value;
  return {
    taskId,
    jobId,
    team,
    kind,
    urgency,
    state,
    attempt,
    holder: value.holder?.agentId ?? null,
    failures,
    evictions,
    reason: value.reason,
    decision: value.lastDecision?.decision ?? null,
  };
}

export function readRowsOfJob(
  context: TaskContext,
  team: string,
  jobId: string,
): Promise<TaskEntry[]> {
  return scanRows(context, jobKeyPrefix(team, jobId), () => true, Number.POSITIVE_INFINITY);
}

/** Finds a job whose team is not known: job ids belong to teams, so each team is asked. */
export async function findRowsOfJob(context: TaskContext, jobId: string): Promise<TaskEntry[]> {
  const teams = configurationOf(context)?.teams ?? [];
  for (let start = 0; start < teams.length; start += PREFIXES_AT_ONCE) {
    const slice = teams.slice(start, start + PREFIXES_AT_ONCE);
    const found = await Promise.all(slice.map(({ name }) => readRowsOfJob(context, name, jobId)));
    const rows = found.find((entries) => entries.length > 0);
    if (rows !== undefined) {
      return rows;
    }
  }
  return [];
}

export function listRuns(context: TaskContext, filter: RunFilter): Promise<TaskEntry[]> {
  const prefix = filter.team === null ? TASK_PREFIX : teamKeyPrefix(filter.team);
  const matches = ({ value }: TaskEntry): boolean =>
    filter.state === null || value.state === filter.state;
  return scanRows(context, prefix, matches, filter.limit);
}

async function scanRows(
  context: TaskContext,
  prefix: string,
  matches: (entry: TaskEntry) => boolean,
  limit: number,
): Promise<TaskEntry[]> {
  const found: TaskEntry[] = [];
  let after: string | null = '';
  for (let page = 0; page < PAGES_MAXIMUM && after !== null && found.length < limit; page += 1) {
    const result: { rows: TaskEntry[]; nextAfter: string | null } =
      await context.entry.table.scan<TaskRow>({ prefix, after, limit: SCAN_ROWS_MAXIMUM });
    found.push(...result.rows.filter(matches));
    after = result.nextAfter;
  }
  return found.slice(0, limit);
}
