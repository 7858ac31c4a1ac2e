/**
 * The fake worker without its HTTP interface: runs tasks by time, under leases on the host's clock.
 */
import { ErrorCode, FigjunctionError } from '@figjunction/errors';
import { RandomSource, SystemClock } from '@figjunction/time';
import type { Clock } from '@figjunction/time';
import { TaskType, WorkerTaskState } from '@figjunction/types';
import type {
  Resources,
  WorkerCheckpointParameters,
  WorkerCheckpointResult,
  WorkerLeaseParameters,
  WorkerStartParameters,
  WorkerStopParameters,
  WorkerTaskCommand,
  WorkerThrottleParameters,
} from '@figjunction/types';
import { CheckpointStore } from './checkpoint-store.js';
import { ExecutionEvent, ExecutionLog } from './execution-log.js';
import { FakeTarget } from './fake-target.js';
import { createTask, isBatch, isLive, progressOf } from './fake-task.js';
import type { FakeTask } from './fake-task.js';
import { serviceTimeMs, slowdownOf } from './load-model.js';
import { TaskTicker } from './task-ticker.js';
import { UsageHistory } from './usage-history.js';
import { createWorkerFaults } from './worker-faults.js';
import type { WorkerFaults } from './worker-faults.js';

export class FakeWorkerError extends FigjunctionError {}

export interface FakeWorkerOptions {
  workerId: string;
  capacity: Resources;
  platformAddress: string;
  host?: string;
  seed?: number;
  faults?: Partial<WorkerFaults>;
  clock?: Clock;
}

export class FakeWorker {
  readonly tasks = new Map<string, FakeTask>();

  readonly faults: WorkerFaults;

  readonly log: ExecutionLog;

  readonly usage: UsageHistory;

  private readonly random: RandomSource;

  private readonly checkpoints: CheckpointStore;

  private readonly ticker: TaskTicker;

  /** Task ids whose start waits for the object store. */
  private readonly starting = new Set<string>();

  private highestIncarnation = 0;

  constructor(private readonly options: FakeWorkerOptions) {
    const { workerId, capacity, seed = 1, clock = new SystemClock() } = options;
    this.random = new RandomSource(seed);
    this.faults = createWorkerFaults(options.faults);
    this.log = new ExecutionLog(workerId, clock);
    this.checkpoints = new CheckpointStore(options.platformAddress);
    const { faults, random, tasks, log } = this;
    const usage = new UsageHistory({ clock, random, capacity, faults });
    this.usage = usage;
    this.ticker = new TaskTicker({ clock, faults, random, tasks, log, usage, capacity });
    this.ticker.start();
  }

  async close(): Promise<void> {
    this.ticker.stop();
    this.checkpoints.close();
    await Promise.all([...this.tasks.values()].map((task) => task.target?.kill()));
  }

  async start(parameters: WorkerStartParameters): Promise<void> {
    this.acceptIncarnation(parameters.incarnation);
    const { taskId } = parameters;
    const known = this.tasks.get(taskId);
    if (this.starting.has(taskId) || (known !== undefined && isLive(known))) {
      throw conflict(`task ${taskId} already runs`);
    }
    this.starting.add(taskId);
    try {
      await this.startNew(parameters);
    } finally {
      this.starting.delete(taskId);
    }
  }

  extendLeases(parameters: WorkerLeaseParameters): void {
    this.acceptIncarnation(parameters.incarnation);
    for (const { taskId, attempt } of parameters.tasks) {
      const task = this.tasks.get(taskId);
      if (task !== undefined && task.start.attempt === attempt) {
        task.incarnation = parameters.incarnation;
        task.leaseDeadline = parameters.leaseDeadlineHostMs;
      }
    }
    this.ticker.applyLeases();
  }

  async checkpoint(
    taskId: string,
    parameters: WorkerCheckpointParameters,
  ): Promise<WorkerCheckpointResult> {
    const task = this.find(taskId, parameters);
    this.ticker.advance();
    const { workDoneMs } = task;
    await this.checkpoints.write(parameters.checkpointKey, { taskId, workDoneMs });
    this.record(ExecutionEvent.TaskCheckpoint, task, parameters.checkpointKey);
    return {
      checkpointKey: parameters.checkpointKey,
      progress: Math.min(1, workDoneMs / task.model.durationMs),
    };
  }

  throttle(taskId: string, parameters: WorkerThrottleParameters): void {
    const task = this.find(taskId, parameters);
    this.ticker.advance();
    task.throttle = Math.min(1, Math.max(0, parameters.throttle));
    this.record(ExecutionEvent.TaskThrottle, task, String(task.throttle));
  }

  /** Ends a task and forgets it; a task that is gone or has another attempt is left as it is. */
  async stop(taskId: string, parameters: WorkerStopParameters): Promise<void> {
    this.acceptIncarnation(parameters.incarnation);
    const task = this.tasks.get(taskId);
    if (task === undefined) {
      return;
    }
    checkAttempt(task, parameters);
    this.ticker.advance();
    task.stopping ??= this.end(task, parameters.graceful);
    await task.stopping;
  }

  private async startNew(parameters: WorkerStartParameters): Promise<void> {
    const { checkpointKey } = parameters;
    const workDoneMs = checkpointKey === null ? 0 : await this.checkpoints.read(checkpointKey);
    const task = createTask(parameters, workDoneMs);
    if (
      isBatch(task) &&
      (this.faults.failEverything || this.random.fraction() < task.model.fails)
    ) {
      this.ticker.planFailure(task);
    }
    if (parameters.type === TaskType.Instance) {
      task.target = this.createTarget(task);
      await task.target.listen();
    }
    this.tasks.set(parameters.taskId, task);
    this.record(ExecutionEvent.TaskStart, task, checkpointKey ?? undefined);
    this.ticker.applyLeases();
  }

  private createTarget(task: FakeTask): FakeTarget {
    const { taskId, kind } = task.start;
    const { capacity, host = '127.0.0.1' } = this.options;
    return new FakeTarget({
      service: kind,
      taskId,
      host,
      faults: this.faults,
      nextServiceMs: () => {
        const { serviceMedianMs, serviceSpread, speed, targetDelayMs } = this.faults;
        const alone = serviceTimeMs(this.random, serviceMedianMs, serviceSpread);
        const slowdown = slowdownOf(kind, this.tasks.values(), capacity, this.faults);
        return (alone * slowdown) / speed + targetDelayMs;
      },
      isSuspended: () => task.state === WorkerTaskState.Suspended,
      onRequest: (phase, requestKey, detail) => {
        const event = phase === 'begin' ? ExecutionEvent.RequestBegin : ExecutionEvent.RequestEnd;
        this.log.add({ ...this.factsOf(task), event, requestKey, detail });
      },
    });
  }

  private async end(task: FakeTask, graceful: boolean): Promise<void> {
    const wasLive = isLive(task);
    if (task.target !== null) {
      await (graceful ? task.target.drain() : task.target.kill());
    }
    if (wasLive) {
      task.state = WorkerTaskState.Stopped;
      this.record(ExecutionEvent.TaskStop, task);
    }
    if (this.tasks.get(task.start.taskId) === task) {
      this.tasks.delete(task.start.taskId);
    }
  }

  private find(taskId: string, command: WorkerTaskCommand): FakeTask {
    this.acceptIncarnation(command.incarnation);
    const task = this.tasks.get(taskId);
    if (task === undefined || !isLive(task)) {
      throw new FakeWorkerError(`task ${taskId} does not run`, { code: ErrorCode.NotFound });
    }
    checkAttempt(task, command);
    return task;
  }

  private acceptIncarnation(incarnation: number): void {
    if (incarnation < this.highestIncarnation) {
      throw conflict(`incarnation ${incarnation} is older than ${this.highestIncarnation}`);
    }
    this.highestIncarnation = incarnation;
  }

  private record(event: ExecutionEvent, task: FakeTask, detail?: string): void {
    this.log.add({ ...this.factsOf(task), event, progress: progressOf(task), detail });
  }

  private factsOf(task: FakeTask) {
    const { taskId, attempt, kind } = task.start;
    return { taskId, attempt, incarnation: task.incarnation, kind };
  }
}

function checkAttempt(task: FakeTask, command: WorkerTaskCommand): void {
  const { taskId, attempt } = task.start;
  if (attempt !== command.attempt) {
    throw conflict(`task ${taskId} runs attempt ${attempt}, not ${command.attempt}`);
  }
}

function conflict(message: string): FakeWorkerError {
  return new FakeWorkerError(message, { code: ErrorCode.Conflict });
}
