/**
 * Implements `Worker` by calling a fake worker in the same process.
 */
import type { FakeWorker } from '@figjunction/test-support';
import type {
  Resources,
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
import { Worker } from '@figjunction/worker';

export class LocalWorker extends Worker {
  constructor(
    private readonly worker: FakeWorker,
    private readonly capacity: Resources,
  ) {
    super();
  }

  override async describe(): Promise<WorkerDescription> {
    return { workerId: 'vm-1', capacity: this.capacity };
  }

  override async listTasks(): Promise<WorkerTask[]> {
    return [...this.worker.tasks.values()].map(({ start, ...task }) => ({
      taskId: start.taskId,
      attempt: start.attempt,
      incarnation: task.incarnation,
      type: start.type,
      kind: start.kind,
      size: start.size,
      state: task.state,
      leaseDeadlineHostMs: task.leaseDeadline,
      progress: task.workDoneMs / task.model.durationMs,
      throttle: task.throttle,
      targetAddress: task.target?.address ?? null,
      failureReason: task.failureReason,
    }));
  }

  override start(parameters: WorkerStartParameters): Promise<void> {
    return this.worker.start(parameters);
  }

  override async extendLeases(parameters: WorkerLeaseParameters): Promise<void> {
    this.worker.extendLeases(parameters);
  }

  override checkpoint(
    taskId: string,
    parameters: WorkerCheckpointParameters,
  ): Promise<WorkerCheckpointResult> {
    return this.worker.checkpoint(taskId, parameters);
  }

  override async throttle(taskId: string, parameters: WorkerThrottleParameters): Promise<void> {
    this.worker.throttle(taskId, parameters);
  }

  override stop(taskId: string, parameters: WorkerStopParameters): Promise<void> {
    return this.worker.stop(taskId, parameters);
  }

  override async readUsage(): Promise<WorkerUsage> {
    return this.worker.usage.visible();
  }
}
