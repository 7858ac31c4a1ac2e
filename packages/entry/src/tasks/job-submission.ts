/**
 * Submission of jobs: checks against the configuration, and one row per task. The job id makes it
 * idempotent: a repeated submission inserts only what an interrupted one left out.
 */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import type { BatchKindConfiguration } from '@figjunction/config';
import { ErrorCode } from '@figjunction/errors';
import {
  JOB_PARAMETERS_MAXIMUM,
  JOB_PARAMETER_LENGTH_MAXIMUM,
  JOB_TASKS_MAXIMUM,
  NAME_LENGTH_MAXIMUM,
  TaskState,
  TaskType,
  taskKey,
} from '@figjunction/types';
import type { JobRequest, SubmittedJob, TaskRow } from '@figjunction/types';
import { requireTeam } from '../authentication.js';
import type { Identity } from '../authentication.js';
import { EntryError } from '../entry-error.js';
import { configurationOf } from './task-context.js';
import type { TaskContext } from './task-context.js';
import { readRowsOfJob } from './job-reader.js';
import { notifyOwners } from './shard-notices.js';
import { batchTaskId, shardOfTeam } from './task-identifiers.js';
import { TaskWriteKind } from './task-store.js';

const SUBMISSION_TIMEOUT_MS = 10_000;
/** Twice what a row takes when 64 rows share a transaction every 100 ms. */
const SUBMISSION_MS_PER_ROW = 3;

const identifierSchema = z
  .string()
  .max(NAME_LENGTH_MAXIMUM)
  .regex(/^[A-Za-z0-9][A-Za-z0-9_-]*$/u, 'use letters, digits, hyphens and underscores');

const jobSchema = z.strictObject({
  jobId: identifierSchema,
  team: identifierSchema,
  kind: identifierSchema,
  urgency: identifierSchema.optional(),
  tasks: z
    .array(
      z.strictObject({
        name: identifierSchema,
        parameters: z
          .record(z.string().max(NAME_LENGTH_MAXIMUM), z.string().max(JOB_PARAMETER_LENGTH_MAXIMUM))
          .refine((parameters) => Object.keys(parameters).length <= JOB_PARAMETERS_MAXIMUM)
          .default({}),
      }),
    )
    .min(1)
    .max(JOB_TASKS_MAXIMUM),
}) satisfies z.ZodType<JobRequest, JobRequest>;

/** A request with its defaults filled in. */
type CheckedJob = z.output<typeof jobSchema>;

export async function submitJob(
  context: TaskContext,
  identity: Identity,
  body: unknown,
): Promise<SubmittedJob> {
  const job = parseJob(body);
  requireTeam(identity, job.team);
  const rows = rowsOfJob(context, job, checkAgainstConfiguration(context, job));
  const existing = await readRowsOfJob(context, job.team, job.jobId);
  if (existing.some(({ value }) => value.jobHash !== hashOfJob(job))) {
    throw contentConflict(job);
  }
  const present = new Set(existing.map(({ value }) => value.taskId));
  const missing = rows.filter(({ taskId }) => !present.has(taskId));
  await insertRows(context, job, missing);
  notifyOwners(context, [shardOfTeam(job.team)]);
  context.entry.metrics.count('jobs_submitted_total');
  return {
    jobId: job.jobId,
    team: job.team,
    tasks: rows.length,
    created: existing.length === 0,
  };
}

function parseJob(body: unknown): CheckedJob {
  const parsed = jobSchema.safeParse(body);
  if (!parsed.success) {
    const problems = parsed.error.issues.map(
      (issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`,
    );
    throw invalid(problems.slice(0, 10).join('; '));
  }
  const names = new Set(parsed.data.tasks.map(({ name }) => name));
  if (names.size < parsed.data.tasks.length) {
    throw invalid('tasks: names must be different');
  }
  return parsed.data;
}

function checkAgainstConfiguration(context: TaskContext, job: CheckedJob): BatchKindConfiguration {
  const configuration = configurationOf(context);
  if (configuration === null) {
    throw new EntryError('no configuration is in force yet', { code: ErrorCode.Unavailable });
  }
  const team = configuration.teams.find(({ name }) => name === job.team);
  if (team === undefined) {
    throw invalid(`team: ${job.team} is not in the configuration`);
  }
  const kind = configuration.batchKinds.find(({ name }) => name === job.kind);
  if (kind === undefined) {
    throw invalid(`kind: ${job.kind} is not in the configuration`);
  }
  const urgency = job.urgency ?? kind.urgency;
  if (!team.urgencies.includes(urgency)) {
    throw new EntryError(`team ${team.name} may not use urgency ${urgency}`, {
      code: ErrorCode.Forbidden,
    });
  }
  if (job.tasks.length > kind.tasksPerJobMaximum) {
    throw invalid(`tasks: kind ${kind.name} allows ${kind.tasksPerJobMaximum} per job`);
  }
  return kind;
}

/** Independent of the order of parameters, so that a client may build them in any order. */
function hashOfJob(job: CheckedJob): string {
  const tasks = job.tasks.map(({ name, parameters }) => [
    name,
    Object.entries(parameters).sort(([left], [right]) => (left < right ? -1 : 1)),
  ]);
  const content = JSON.stringify([job.team, job.kind, job.urgency ?? null, tasks]);
  return createHash('sha256').update(content).digest('hex');
}

function rowsOfJob(
  context: TaskContext,
  job: CheckedJob,
  kind: BatchKindConfiguration,
): Omit<TaskRow, 'writeId'>[] {
  const jobHash = hashOfJob(job);
  const submittedAtMs = context.entry.clock.wallTimeMs();
  return job.tasks.map(({ name, parameters }) => ({
    taskId: batchTaskId(job.team, job.jobId, name),
    type: TaskType.Batch,
    jobId: job.jobId,
    jobHash,
    team: job.team,
    kind: kind.name,
    urgency: job.urgency ?? kind.urgency,
    declaredSize: kind.size,
    state: TaskState.Pending,
    attempt: 0,
    holder: null,
    checkpointKey: null,
    parameters,
    failures: 0,
    evictions: 0,
    failedOn: [],
    reason: null,
    lastDecision: null,
    submittedAtMs,
    endedAtMs: null,
  }));
}

async function insertRows(
  context: TaskContext,
  job: CheckedJob,
  rows: Omit<TaskRow, 'writeId'>[],
): Promise<void> {
  const shard = shardOfTeam(job.team);
  const results = await Promise.allSettled(
    rows.map((row) =>
      context.store.write(taskKey(shard, row.taskId), null, row as TaskRow, {
        kind: TaskWriteKind.Submission,
        timeoutMs: SUBMISSION_TIMEOUT_MS + rows.length * SUBMISSION_MS_PER_ROW,
      }),
    ),
  );
  const failed = results.find((result) => result.status === 'rejected');
  if (failed !== undefined) {
    throw new EntryError('the job was not stored completely; submit it again with the same id', {
      code: ErrorCode.Unavailable,
      cause: failed.reason as Error,
    });
  }
  const jobHash = hashOfJob(job);
  const foreign = results.some(
    (result) =>
      result.status === 'fulfilled' &&
      !result.value.applied &&
      result.value.current?.value.jobHash !== jobHash,
  );
  if (foreign) {
    throw contentConflict(job);
  }
}

function contentConflict(job: CheckedJob): EntryError {
  return new EntryError(`job ${job.jobId} of team ${job.team} exists with other content`, {
    code: ErrorCode.Conflict,
  });
}

function invalid(message: string): EntryError {
  return new EntryError(message, { code: ErrorCode.InvalidInput });
}
