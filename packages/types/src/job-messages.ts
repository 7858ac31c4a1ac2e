/**
 * Shapes of the entry's HTTP API for jobs and runs (section 16.1 of the design), with their limits and
 * defaults. The entry enforces them, the client and the configuration refer to them.
 */
import type { TaskState } from './enums.js';
import type { JobId, TaskId, TeamName } from './identifiers.js';

/** Longest name or identifier, in characters. */
export const NAME_LENGTH_MAXIMUM = 63;

/** Longest body of a submission. */
export const JOB_BYTES_MAXIMUM = 8 * 1024 * 1024;

/** Most tasks in one job of any kind. */
export const JOB_TASKS_MAXIMUM = 10_000;

/** Most tasks in one job of a kind whose configuration does not state it. */
export const JOB_TASKS_DEFAULT = 1_000;

/** Most parameters of one task. */
export const JOB_PARAMETERS_MAXIMUM = 64;

/** Longest value of a parameter, in characters. */
export const JOB_PARAMETER_LENGTH_MAXIMUM = 4_096;

/** Most runs in one list. */
export const RUNS_LIMIT_MAXIMUM = 1_000;

/** Runs in a list when the caller does not state a limit. */
export const RUNS_LIMIT_DEFAULT = 100;

export interface JobTask {
  name: string;
  /** None by default. */
  parameters?: Record<string, string>;
}

/** What a caller submits. */
export interface JobRequest {
  jobId: JobId;
  team: TeamName;
  kind: string;
  /** The urgency of the kind by default. */
  urgency?: string;
  tasks: JobTask[];
}

export interface SubmittedJob {
  jobId: JobId;
  team: TeamName;
  tasks: number;
  /** False when the same job existed already. */
  created: boolean;
}

export interface CancelledJob {
  jobId: JobId;
  /** Runs that had not ended. */
  cancelled: number;
}

/** A batch task of a job, as callers see it. */
export interface RunView {
  taskId: TaskId;
  jobId: JobId;
  team: TeamName;
  kind: string;
  urgency: string;
  state: TaskState;
  attempt: number;
  /** The agent that holds the run. */
  holder: string | null;
  failures: number;
  evictions: number;
  /** Why the run is held, or how it ended. */
  reason: string | null;
  /** The last decision about the run, in words. */
  decision: string | null;
}

export interface RunList {
  runs: RunView[];
}

export interface JobView {
  jobId: JobId;
  team: TeamName;
  kind: string;
  counts: Partial<Record<TaskState, number>>;
  tasks: RunView[];
}
