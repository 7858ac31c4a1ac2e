/**
 * Starts claimed tasks. An order to start is only a hint: the row decides. It must name this agent, this
 * incarnation and this attempt, so that late, repeated and outdated orders have no effect.
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
import { findCapacityRefusal } from './room-loads.js';
import { controlThrottles } from './throttle-control.js';
import { holdsLease, computeWorkerLeaseDeadline } from './task-runtime.js';
import type { TaskRuntime } from './task-runtime.js';

type StartOrder = TaskStartParameters['tasks'][number];

/** Failures after which the same start is tried again. */
const TRANSIENT_CODES = new Set([
  ErrorCode.Unavailable,
  ErrorCode.TimedOut,
  ErrorCode.Throttled,
  ErrorCode.OutcomeUnknown,
]);

/** Notes the orders that may be meant for this incarnation, then checks and starts them. */
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

/** Tries again what an earlier table or worker failure left in the middle. */
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

/** The entry to check, or null when the order is a repetition or is outdated. */
function recordStartOrder(runtime: TaskRuntime, order: StartOrder): TaskEntry | null {
  const existing = runtime.tasks.get(order.taskId);
  if (existing === undefined) {
    // The reservation has expired, or was made by an earlier incarnation; the row tells the size.
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
    runtime.context.logger.debug({ error: message }, 'claims could not be read');
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
    // Should an earlier start have reached the worker after all, the poll finds the task there.
    runtime.tasks.remove(entry);
    return;
  }
  copyFromRow(entry, row.value);
  const refusal = findStartRefusal(runtime, entry);
  if (refusal !== null) {
    orderStop(runtime, entry, { checkpoint: true, reason: refusal });
  }
  if (entry.order === null && holdsLease(runtime.context)) {
    await startOnWorker(runtime, entry, row.value);
  }
}

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

/** A claim whose reservation was lost may find the room taken; it is then given back untouched. */
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
      entry.type === TaskType.Batch ? (runtime.restraintOf(entry.kind)?.throttle ?? 1) : 1;
    entry.startedAt = context.clock.now();
    entry.measurableFrom = entry.startedAt;
    context.heartbeatDue = true;
    context.metrics.count('tasks_started_total');
    // A task of unknown size is throttled before it can take processors that others need.
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
  // After a conflict or an unknown outcome, the worker's list of tasks shows what it runs.
  if (code === ErrorCode.Conflict || TRANSIENT_CODES.has(code)) {
    runtime.context.logger.debug({ task: entry.taskId, error: error.message }, 'start to repeat');
    return;
  }
  // An earlier try may have started it: the end is reported only once the worker has surely none.
  await stopOnWorker(runtime, entry);
  endTask(runtime, entry, {
    kind: TaskReportKind.Failed,
    reason: `the worker refused the start: ${error.message}`,
  });
}
