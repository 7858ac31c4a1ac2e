/**
 * HTTP routes for jobs and runs.
 */
import { ErrorCode } from '@figjunction/errors';
import { readJson, sendJson } from '@figjunction/http';
import type { Route, RouteMatch } from '@figjunction/http';
import {
  JOB_BYTES_MAXIMUM,
  RUNS_LIMIT_DEFAULT,
  RUNS_LIMIT_MAXIMUM,
  Role,
  TaskState,
} from '@figjunction/types';
import type { CancelledJob, JobView, RunList } from '@figjunction/types';
import { authenticate, requireTeam } from '../authentication.js';
import type { Identity } from '../authentication.js';
import { EntryError } from '../entry-error.js';
import { cancelRows } from './cancellation.js';
import { findRowsOfJob, listRuns, readRowsOfJob, viewOf } from './job-reader.js';
import { submitJob } from './job-submission.js';
import type { TaskContext } from './task-context.js';
import type { TaskEntry } from './task-table.js';

/** The rows of a job that exists. */
type JobRows = [TaskEntry, ...TaskEntry[]];

export function createJobRoutes(context: TaskContext): Route[] {
  return [
    {
      method: 'POST',
      pattern: /^\/v1\/jobs$/u,
      async handle({ request, response }): Promise<void> {
        const identity = authenticate(context.entry, request);
        const body = await readJson(request, JOB_BYTES_MAXIMUM);
        sendJson(response, 200, await submitJob(context, identity, body));
      },
    },
    {
      method: 'GET',
      pattern: /^\/v1\/jobs\/(?<jobId>[^/]+)$/u,
      async handle(match): Promise<void> {
        const rows = await rowsOfRequestedJob(context, match);
        sendJson(match.response, 200, describeJob(rows));
      },
    },
    {
      method: 'POST',
      pattern: /^\/v1\/jobs\/(?<jobId>[^/]+)\/cancel$/u,
      async handle(match): Promise<void> {
        const rows = await rowsOfRequestedJob(context, match);
        const identity = authenticate(context.entry, match.request);
        const cancelled = await cancelRows(context, rows, `cancelled by ${identity.name}`);
        const answer: CancelledJob = { jobId: match.parameters.jobId ?? '', cancelled };
        sendJson(match.response, 200, answer);
      },
    },
    {
      method: 'GET',
      pattern: /^\/v1\/runs$/u,
      async handle({ request, response, query }): Promise<void> {
        const identity = authenticate(context.entry, request);
        const rows = await listRuns(context, {
          team: teamOf(identity, query.get('team')),
          state: parseState(query.get('state')),
          limit: parseLimit(query.get('limit')),
        });
        const answer: RunList = { runs: rows.map(viewOf) };
        sendJson(response, 200, answer);
      },
    },
  ];
}

/** Callers see their own team; operators see the team they name, or all. */
function teamOf(identity: Identity, named: string | null): string | null {
  if (identity.role === Role.Operator) {
    return named;
  }
  requireTeam(identity, named ?? identity.name);
  return identity.name;
}

async function rowsOfRequestedJob(
  context: TaskContext,
  { request, parameters, query }: RouteMatch,
): Promise<JobRows> {
  const identity = authenticate(context.entry, request);
  const jobId = parameters.jobId ?? '';
  const team = teamOf(identity, query.get('team'));
  const rows =
    team === null ? await findRowsOfJob(context, jobId) : await readRowsOfJob(context, team, jobId);
  const [first, ...others] = rows;
  if (first === undefined) {
    throw new EntryError(`job ${jobId} does not exist`, { code: ErrorCode.NotFound });
  }
  return [first, ...others];
}

function describeJob(rows: JobRows): JobView {
  const counts: JobView['counts'] = {};
  for (const { value } of rows) {
    counts[value.state] = (counts[value.state] ?? 0) + 1;
  }
  const { jobId, team, kind } = rows[0].value;
  return { jobId, team, kind, counts, tasks: rows.map(viewOf) };
}

function parseState(text: string | null): TaskState | null {
  if (text === null) {
    return null;
  }
  const states = Object.values(TaskState);
  const state = states.find((candidate) => String(candidate) === text);
  if (state === undefined) {
    throw new EntryError(`state must be one of ${states.join(', ')}`, {
      code: ErrorCode.InvalidInput,
    });
  }
  return state;
}

function parseLimit(text: string | null): number {
  const limit = text === null ? RUNS_LIMIT_DEFAULT : Number(text);
  if (!Number.isInteger(limit) || limit < 1 || limit > RUNS_LIMIT_MAXIMUM) {
    throw new EntryError(`limit must be a whole number from 1 to ${RUNS_LIMIT_MAXIMUM}`, {
      code: ErrorCode.InvalidInput,
    });
  }
  return limit;
}
