/**
 * Reconciles the agent's task table with the worker's task list. Detects ended tasks, starts whose response
 * was lost, tasks that the worker lost, and tasks that are missing in the table.
 */
import { recordRunTime } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { TaskReportKind, TaskType, WorkerTaskState } from '@figjunction/types';
import type { WorkerTask } from '@figjunction/types';
import { endTask } from './task-ender.js';
import { TaskPhase } from './task-table.js';
import type { TaskEntry } from './task-table.js';
import type { TaskRuntime } from './task-runtime.js';

export async function pollWorker(runtime: TaskRuntime): Promise<void> {
  const requestedAt = runtime.context.clock.now();
  const before = new Set(runtime.tasks.all());
  const tasks = await runtime.context.worker.listTasks();
  const listed = new Map(tasks.map((task) => [task.taskId, task]));
  for (const entry of runtime.tasks.all()) {
    reconcileEntry(runtime, entry, listed.get(entry.taskId), requestedAt);
  }
  const known = new Set([...before, ...runtime.tasks.all()].map((entry) => entry.taskId));
  for (const task of tasks.filter(({ taskId }) => !known.has(taskId))) {
    addUnadoptedTask(runtime, task);
  }
}

/** Adds a task found on the worker, so that it counts as load. The adopter decides whether it continues. */
export function addUnadoptedTask(runtime: TaskRuntime, task: WorkerTask): TaskEntry {
  return runtime.tasks.add({
    taskId: task.taskId,
    attempt: task.attempt,
    type: task.type,
    kind: task.kind,
    declared: task.size,
    phase: TaskPhase.Unadopted,
    incarnation: task.incarnation,
    throttle: task.throttle,
    // Treated as a throttle of the guards, so that the guards relax it step by step.
    guardThrottle: task.throttle,
    throttleChanges: [
      {
        sentAt: Number.NEGATIVE_INFINITY,
        at: Number.NEGATIVE_INFINITY,
        throttle: task.throttle,
      },
    ],
    progress: task.progress,
  });
}

function reconcileEntry(
  runtime: TaskRuntime,
  entry: TaskEntry,
  task: WorkerTask | undefined,
  requestedAt: Instant,
): void {
  if (entry.isLocked) {
    return;
  }
  if (entry.phase === TaskPhase.Starting) {
    reconcileStarting(runtime, entry, task);
  } else if (entry.phase === TaskPhase.Running && entry.startedAt < requestedAt) {
    reconcileRunning(runtime, entry, task);
  }
}

function reconcileStarting(
  runtime: TaskRuntime,
  entry: TaskEntry,
  task: WorkerTask | undefined,
): void {
  if (task?.attempt === entry.attempt) {
    entry.phase = TaskPhase.Running;
    entry.startedAt = runtime.context.clock.now();
    entry.measurableFrom = entry.startedAt;
    runtime.context.isHeartbeatDue = true;
  } else if (task !== undefined && task.attempt < entry.attempt) {
    stopEarlierAttempt(runtime, task);
  }
}

/** Stops an attempt on the worker that is outdated, because the row names a later one. */
function stopEarlierAttempt({ context }: TaskRuntime, task: WorkerTask): void {
  const { taskId, attempt } = task;
  const { incarnation } = context;
  context.worker.stop(taskId, { incarnation, attempt, graceful: false }).catch(() => {
    // The next poll retries.
  });
}

function reconcileRunning(
  runtime: TaskRuntime,
  entry: TaskEntry,
  task: WorkerTask | undefined,
): void {
  if (task === undefined || task.attempt !== entry.attempt) {
    const reason = 'the worker lost the task';
    endTask(runtime, entry, { kind: TaskReportKind.Failed, reason });
    return;
  }
  entry.progress = task.progress;
  if (task.state === WorkerTaskState.Completed && entry.type === TaskType.Batch) {
    const now = runtime.context.clock.now();
    recordRunTime(runtime.estimates, entry.kind, now - entry.startedAt, now);
    endTask(runtime, entry, { kind: TaskReportKind.Completed, reason: null });
  } else if (hasEnded(task)) {
    const reason = task.failureReason ?? `the task ended in state ${task.state}`;
    endTask(runtime, entry, { kind: TaskReportKind.Failed, reason });
  } else if (entry.type === TaskType.Instance) {
    updateInstance(runtime, entry, task);
  }
}

function hasEnded(task: WorkerTask): boolean {
  return task.state !== WorkerTaskState.Running && task.state !== WorkerTaskState.Suspended;
}

/** Adds an instance to the instance table or updates its address; the attempt module counts its slots. */
function updateInstance({ context }: TaskRuntime, entry: TaskEntry, task: WorkerTask): void {
  const known = context.instances.get(entry.taskId);
  if (known !== undefined && known.attempt === entry.attempt) {
    if (known.targetAddress !== task.targetAddress) {
      known.targetAddress = task.targetAddress;
      context.isHeartbeatDue = true;
    }
    return;
  }
  const service = context.configuration
    .current()
    ?.services.find((candidate) => candidate.service === entry.kind);
  if (service === undefined) {
    return;
  }
  context.instances.set({
    taskId: entry.taskId,
    service: entry.kind,
    attempt: entry.attempt,
    targetAddress: task.targetAddress,
    slots: service.slotsPerInstance,
    slotsUsed: 0,
    connections: service.connectionsPerInstance,
    connectionsUsed: 0,
    draining: entry.stopOrder !== null,
  });
  context.isHeartbeatDue = true;
}
