/**
 * Shapes of the worker's HTTP interface. The worker belongs to the platform and runs on the VM of its
 * agent, so its lease deadlines are absolute times on the host's monotonic clock.
 */
import type { TaskType, WorkerTaskState } from './enums.js';
import type { AgentIncarnation, KindName, TaskId, WorkerId } from './identifiers.js';
import type { Resources } from './resources.js';

export interface WorkerDescription {
  workerId: WorkerId;
  capacity: Resources;
}

export interface WorkerTask {
  taskId: TaskId;
  attempt: number;
  incarnation: AgentIncarnation;
  type: TaskType;
  kind: KindName;
  size: Resources;
  state: WorkerTaskState;
  leaseDeadlineHostMs: number;
  /** Fraction of the work done, 0 to 1; 0 for instances. */
  progress: number;
  /** Share of the processors the task may use, 0 to 1. */
  throttle: number;
  /** `http://<ip>:<port>` of an instance's target, once it listens. */
  targetAddress: string | null;
  failureReason: string | null;
}

export interface WorkerStartParameters {
  taskId: TaskId;
  attempt: number;
  incarnation: AgentIncarnation;
  type: TaskType;
  kind: KindName;
  size: Resources;
  leaseDeadlineHostMs: number;
  checkpointKey: string | null;
  parameters: Record<string, string>;
}

export interface WorkerLeaseParameters {
  incarnation: AgentIncarnation;
  leaseDeadlineHostMs: number;
  tasks: { taskId: TaskId; attempt: number }[];
}

export interface WorkerTaskCommand {
  incarnation: AgentIncarnation;
  attempt: number;
}

export interface WorkerCheckpointParameters extends WorkerTaskCommand {
  checkpointKey: string;
}

export interface WorkerThrottleParameters extends WorkerTaskCommand {
  throttle: number;
}

export interface WorkerStopParameters extends WorkerTaskCommand {
  /** An instance finishes its requests first. */
  graceful: boolean;
}

export interface WorkerCheckpointResult {
  checkpointKey: string;
  progress: number;
}

export interface TaskUsage {
  taskId: TaskId;
  kind: KindName;
  used: Resources;
  /** Service time relative to the instance alone on the VM; null for batch tasks. */
  slowdown: number | null;
}

export interface WorkerUsage {
  /** When the measurement was taken, on the host's monotonic clock. */
  measuredAtHostMs: number;
  tasks: TaskUsage[];
}
