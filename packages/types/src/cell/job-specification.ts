/**
 * Batch jobs made of steps, as the scheduler of a cell keeps them.
 */
import type { AgentId, TaskId } from '../identifiers.js';
import type { Resources } from '../resources.js';
import type { QueuePolicy } from './fleet-configuration.js';

export interface StepSpecification {
  taskCount: number;
  /** Resources of one task. */
  resources: Resources;
  /** A rough estimate of the run time of one task. */
  estimateMs: number;
  /** Indexes of earlier steps whose tasks must all complete before this step starts. */
  after: number[];
  checkpoints: boolean;
  /** All tasks run together or not at all. */
  gang: boolean;
  /** The tasks run slower when they are spread over racks. */
  sameRack: boolean;
  requiredLabel: string | null;
  /** The rack that holds the input data. */
  preferredRack: string | null;
  tasksPerVmMaximum: number | null;
  /** Copies of a task may run in parallel. */
  duplicatesAllowed: boolean;
  /** Runs until the job is cancelled. */
  longRunning: boolean;
  image: string | null;
  /** Bound on the tail latency of a task that serves requests of its own. */
  latencyTargetMs: number | null;
  /** Filler step: its tasks use only processor time that other tasks leave. */
  fills: boolean;
  /** Maximum number of tasks of a long-running step that the scheduler may make unavailable at once. */
  unavailableMaximum: number | null;
}

export interface JobSpecification {
  payload: string;
  steps: StepSpecification[];
  /** Number of times the steps run; 0 for a job without a schedule. */
  occurrences: number;
  /** Wall-clock time of the first occurrence. */
  firstDueWallMs: number;
  intervalMs: number;
}

/** The stored row of an accepted job. */
export interface JobRow {
  /** The queue as it was configured when the job was accepted. */
  policy: QueuePolicy;
  specification: JobSpecification;
  /** Time of acceptance on the store's clock. */
  submittedAtStoreMs: number;
}

/** The stored progress of one occurrence of a job. */
export interface ProgressRow {
  state: JobState;
  /** One string per step with one character per task: 1 when the task is done, else 0. */
  done: string[];
  /** Numbers of the failed runs by "step.index"; tasks without failures are left out. */
  failures: Record<string, number[]>;
  /**
   * Numbers of the runs under which a VM crashed, by "step.index"; tasks without crashes are left out. Rows of
   * earlier versions have none.
   */
  crashes?: Record<string, number[]>;
  /** Runners whose VMs may hold runs of the occurrence. Stored before the start order is sent. */
  runners: AgentId[];
  /**
   * True if a VM had begun a task of the occurrence when the row was stored. A row with runners and without this says
   * nothing about now. Rows of earlier versions have none.
   */
  hasBegun?: boolean;
  /** Base64 of the compressed `done`, `failures` and `crashes`, which are empty then; only in rows that are large. */
  packed?: string;
}

export enum JobState {
  Queued = 'queued',
  Running = 'running',
  Completed = 'completed',
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** How a run on a VM ended. */
export enum RunEnding {
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  /** The lease of the VM expired. */
  Lapsed = 'lapsed',
  /** Another member of its gang ended. */
  GangBroken = 'gang-broken',
  /** The other members of its gang did not arrive in time. */
  GangIncomplete = 'gang-incomplete',
}

/** Identifies one execution of a task on a VM; the number increases with each start of the task. */
export interface RunReference {
  taskId: TaskId;
  run: number;
}
