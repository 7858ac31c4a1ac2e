/**
 * Starts claimed tasks. A start order is only a hint; the row of the task decides. The row must name this
 * agent, this incarnation and this attempt, so late, repeated and outdated orders have no effect.
 */
import { ErrorCode, errorCodeOf, toError } from '@figjunction/errors';
import {
  AgentState,
  TRANSACTION_ITEMS_MAXIMUM,
  TaskReportKind,
  TaskState,
  TaskType,
} from '@figjunction/types';
import type { TaskRow, TaskStartParameters, VersionedRow } from '@figjunction/types';
import { orderStop } from './stop-orders.js';
import { endTask, stopOnWorker } from './task-ender.js';
import { TaskPhase } from './task-table.js';
import type { TaskEntry } from './task-table.js';
import { findCapacityRefusal } from './task-loads.js';
import { controlThrottles } from './throttle-control.js';
import { holdsLease, computeWorkerLeaseDeadline } from './task-runtime.js';
import type { TaskRuntime } from './task-runtime.js';

type StartOrder = TaskStartParameters['tasks'][number];

/** Error codes after which the start is retried. */
const TRANSIENT_CODES = new Set([
  ErrorCode.Unavailable,
  ErrorCode.TimedOut,
  ErrorCode.Throttled,
  ErrorCode.OutcomeUnknown,
]);

/** Records start orders for this incarnation, checks them against their rows and starts the tasks. */
export async function startTasks(
  runtime: TaskRuntime,
  parameters: TaskStartParameters,
): Promise<void> {
  const { context } = runtime;
  if (parameters.incarnation !== context.incarnation || !canStart(runtime)) {
    return;
  }
  const entries = parameters.tasks
    .map((order) => recordStartOrder(runtime, order))
    .filter((entry) => entry !== null);
  await checkAndStart(runtime, entries);
}

/** Retries starts that an earlier failure of the table or the worker interrupted. */
export async function resumeStarts(runtime: TaskRuntime): Promise<void> {
  if (canStart(runtime)) {
    const waiting = runtime.tasks.inPhase(TaskPhase.Starting).filter((entry) => !entry.isLocked);
    await checkAndStart(runtime, waiting);
  }
}

function canStart({ context }: TaskRuntime): boolean {
  const confirmed = context.configuration.isConfirmed(context.clock.now());
  return context.state !== AgentState.Starting && confirmed && holdsLease(context);
}

/** Returns the entry to check, or null for a repeated or outdated order. */
function recordStartOrder(runtime: TaskRuntime, order: StartOrder): TaskEntry | null {
  const existing = runtime.tasks.get(order.taskId);
  if (existing === undefined) {
    // The reservation expired or belongs to an earlier incarnation; the size is read from the row.
    return runtime.tasks.add({
      taskId: order.taskId,
      attempt: order.attempt,
      key: order.key,
      type: TaskType.Batch,
      kind: '',
      declared: { processorMillicores: 0, memoryMegabytes: 0, accelerators: 0 },
      phase: TaskPhase.Starting,
    });
  }
  if (existing.phase !== TaskPhase.Reserved || existing.attempt !== order.attempt) {
    return null;
  }
  existing.key = order.key;
  existing.phase = TaskPhase.Starting;
  return existing;
}

async function checkAndStart(runtime: TaskRuntime, entries: TaskEntry[]): Promise<void> {
  for (let first = 0; first < entries.length; first += TRANSACTION_ITEMS_MAXIMUM) {
    await checkAndStartBatch(runtime, entries.slice(first, first + TRANSACTION_ITEMS_MAXIMUM));
  }
}

async function checkAndStartBatch(runtime: TaskRuntime, entries: TaskEntry[]): Promise<void> {
  for (const entry of entries) {
    entry.isLocked = true;
  }
  try {
    const rows = await runtime.context.table.read<TaskRow>(entries.map(({ key }) => key ?? ''));
    await Promise.all(
      entries.map((entry, index) => startClaimed(runtime, entry, rows[index] ?? null)),
    );
  } catch (error) {
    const { message } = toError(error);
    runtime.context.logger.debug(
      { error: message },
      'rows of claimed tasks could not be read; will retry',
    );
  } finally {
    for (const entry of entries) {
      entry.isLocked = false;
    }
  }
}

async function startClaimed(
  runtime: TaskRuntime,
  entry: TaskEntry,
  row: VersionedRow<TaskRow> | null,
): Promise<void> {
  if (row === null || !isCurrentClaim(runtime, entry, row.value)) {
    // If an earlier start reached the worker after all, the poller finds the task there.
    runtime.tasks.remove(entry);
    return;
  }
  copyFromRow(entry, row.value);
  const refusal = findStartRefusal(runtime, entry);
  if (refusal !== null) {
    orderStop(runtime, entry, { checkpoint: true, reason: refusal });
  }
  if (entry.stopOrder === null && holdsLease(runtime.context)) {
    await startOnWorker(runtime, entry, row.value);
  }
}

/** Whether the row says that this agent, incarnation and attempt run the task. */
function isCurrentClaim({ context }: TaskRuntime, entry: TaskEntry, row: TaskRow): boolean {
  return (
    row.taskId === entry.taskId &&
    row.state === TaskState.Running &&
    row.attempt === entry.attempt &&
    row.holder?.agentId === context.settings.agentId &&
    row.holder.incarnation === context.incarnation
  );
}

function copyFromRow(entry: TaskEntry, row: TaskRow): void {
  if (entry.kind === '') {
    entry.declared = row.declaredSize;
  }
  entry.type = row.type;
  entry.kind = row.kind;
  entry.team = row.team;
  entry.incarnation = row.holder?.incarnation ?? 0;
  entry.checkpointKey = row.checkpointKey;
  entry.evictions = row.evictions;
}

/** A task whose reservation was lost may not fit any more; it is then returned without being started. */
function findStartRefusal(runtime: TaskRuntime, entry: TaskEntry): string | null {
  if (runtime.context.state === AgentState.Leaving) {
    return 'the agent is leaving';
  }
  return findCapacityRefusal(runtime, { ...entry, measured: null }, entry);
}

async function startOnWorker(runtime: TaskRuntime, entry: TaskEntry, row: TaskRow): Promise<void> {
  const { context } = runtime;
  try {
    await context.worker.start({
      taskId: entry.taskId,
      attempt: entry.attempt,
      incarnation: context.incarnation,
      type: entry.type,
      kind: entry.kind,
      size: row.declaredSize,
      leaseDeadlineHostMs: computeWorkerLeaseDeadline(context, entry.type),
      checkpointKey: entry.checkpointKey,
      parameters: row.parameters,
    });
    entry.phase = TaskPhase.Running;
    entry.guardThrottle =
      entry.type === TaskType.Batch ? (runtime.findKindLimits(entry.kind)?.throttle ?? 1) : 1;
    entry.startedAt = context.clock.now();
    entry.measurableFrom = entry.startedAt;
    context.isHeartbeatDue = true;
    context.metrics.count('tasks_started_total');
    // Throttles a task of unknown size before it can take processors from other tasks.
    await controlThrottles(runtime);
  } catch (error) {
    await handleStartFailure(runtime, entry, toError(error));
  }
}

async function handleStartFailure(
  runtime: TaskRuntime,
  entry: TaskEntry,
  error: Error,
): Promise<void> {
  const code = errorCodeOf(error);
  // After a conflict or an unknown outcome, the worker's task list shows whether the task runs.
  if (code === ErrorCode.Conflict || TRANSIENT_CODES.has(code)) {
    runtime.context.logger.debug(
      { task: entry.taskId, error: error.message },
      'starting the task failed; will retry',
    );
    return;
  }
  // An earlier call may have started the task, so the worker must stop it before the end is reported.
  await stopOnWorker(runtime, entry);
  endTask(runtime, entry, {
    kind: TaskReportKind.Failed,
    reason: `the worker refused to start the task: ${error.message}`,
  });
}
