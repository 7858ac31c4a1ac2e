/**
 * One task on the fake worker: its state and how it advances with time.
 */
import { TaskType, WorkerTaskState } from '@figjunction/types';
import type { Resources, WorkerStartParameters, WorkerTask } from '@figjunction/types';
import type { Instant } from '@figjunction/time';
import type { FakeTarget } from './fake-target.js';

/** What the parameters of a batch task say about its execution. */
export interface BatchModel {
  durationMs: number;
  /** True use of processors and memory relative to the declared size. */
  trueSizeFactor: number;
  /** Probability that an attempt fails, 0 to 1. */
  fails: number;
  /** Factor on the slowdown that the task causes to services. */
  noise: number;
}

export interface FakeTask {
  start: WorkerStartParameters;
  incarnation: number;
  state: WorkerTaskState;
  leaseDeadline: Instant;
  model: BatchModel;
  workDoneMs: number;
  throttle: number;
  /** Work done after which this attempt fails; null when it does not. */
  failsAtMs: number | null;
  failureReason: string | null;
  target: FakeTarget | null;
  stopping: Promise<void> | null;
}

const DEFAULT_DURATION_MS = 1_000;

function readBatchModel(parameters: Record<string, string>): BatchModel {
  const number = (name: string, otherwise: number): number => {
    const value = Number(parameters[name] ?? otherwise);
    return Number.isFinite(value) ? value : otherwise;
  };
  return {
    durationMs: Math.max(1, number('durationMs', DEFAULT_DURATION_MS)),
    trueSizeFactor: number('trueSizeFactor', 1),
    fails: parameters.fails === 'true' ? 1 : number('fails', 0),
    noise: number('noise', 1),
  };
}

export function createTask(start: WorkerStartParameters, workDoneMs: number): FakeTask {
  const model = readBatchModel(start.parameters);
  return {
    start,
    incarnation: start.incarnation,
    state: WorkerTaskState.Running,
    leaseDeadline: start.leaseDeadlineHostMs,
    model,
    workDoneMs,
    throttle: 1,
    failsAtMs: null,
    failureReason: null,
    target: null,
    stopping: null,
  };
}

export function isBatch(task: FakeTask): boolean {
  return task.start.type === TaskType.Batch;
}

export function isLive(task: FakeTask): boolean {
  return task.state === WorkerTaskState.Running || task.state === WorkerTaskState.Suspended;
}

export function progressOf(task: FakeTask): number {
  return isBatch(task) ? Math.min(1, task.workDoneMs / task.model.durationMs) : 0;
}

/** What the task uses now, whatever its declared size says. */
export function trueUse(task: FakeTask): Resources {
  const { size } = task.start;
  const factor = task.model.trueSizeFactor;
  const running = task.state === WorkerTaskState.Running;
  return {
    processorMillicores: running
      ? Math.round(size.processorMillicores * factor * task.throttle)
      : 0,
    memoryMegabytes: isLive(task) ? Math.round(size.memoryMegabytes * factor) : 0,
    accelerators: isLive(task) ? size.accelerators : 0,
  };
}

export function describeTask(task: FakeTask): WorkerTask {
  const { taskId, attempt, type, kind, size } = task.start;
  return {
    taskId,
    attempt,
    incarnation: task.incarnation,
    type,
    kind,
    size,
    state: task.state,
    leaseDeadlineHostMs: task.leaseDeadline,
    progress: progressOf(task),
    throttle: task.throttle,
    targetAddress: task.target?.address ?? null,
    failureReason: task.failureReason,
  };
}
