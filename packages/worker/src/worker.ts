/**
 * Interface to the worker, the platform's process that runs tasks on a VM. Each task has a lease; the worker
 * itself suspends a task whose lease deadline has passed, even if it receives no calls.
 */
import type {
  TaskId,
  WorkerCheckpointParameters,
  WorkerCheckpointResult,
  WorkerDescription,
  WorkerLeaseParameters,
  WorkerStartParameters,
  WorkerStopParameters,
  WorkerTask,
  WorkerThrottleParameters,
  WorkerUsage,
} from '@figjunction/types';

export abstract class Worker {
  abstract describe(): Promise<WorkerDescription>;

  abstract listTasks(): Promise<WorkerTask[]>;

  /** Starts a task. Refused if the task is already running or a higher incarnation has been seen. */
  abstract start(parameters: WorkerStartParameters): Promise<void>;

  abstract extendLeases(parameters: WorkerLeaseParameters): Promise<void>;

  /** Writes a checkpoint to the object store under the given key. The task keeps running. */
  abstract checkpoint(
    taskId: TaskId,
    parameters: WorkerCheckpointParameters,
  ): Promise<WorkerCheckpointResult>;

  abstract throttle(taskId: TaskId, parameters: WorkerThrottleParameters): Promise<void>;

  /** Stops a task and removes it from the list of tasks; idempotent. */
  abstract stop(taskId: TaskId, parameters: WorkerStopParameters): Promise<void>;

  abstract readUsage(): Promise<WorkerUsage>;
}
