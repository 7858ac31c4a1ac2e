/**
 * Ends tasks on this VM: queues the report of an end and executes stop orders. A task is reported as evicted
 * only after the worker has stopped it.
 */
import { randomUUID } from 'node:crypto';
import { toError } from '@figjunction/errors';
import { TaskReportKind, TaskType } from '@figjunction/types';
import type { DecisionRecord } from '@figjunction/types';
import { AgentError } from '../agent-error.js';
import { TaskPhase } from './task-table.js';
import type { StopOrder, TaskEntry } from './task-table.js';
import { isCheckpointable } from './task-loads.js';
import { updateCapacityReport } from './capacity-report.js';
import { holdsLease } from './task-runtime.js';
import type { TaskRuntime } from './task-runtime.js';

/** Delay after a failed stop or checkpoint, which bounds the rate of calls during an outage. */
const RETRY_AFTER_MS = 1_000;

export interface TaskEnd {
  kind: TaskReportKind.Completed | TaskReportKind.Failed | TaskReportKind.Evicted;
  reason: string | null;
  decision?: DecisionRecord | null;
}

/** Marks a task as ended and reports it. Once the report is settled, the task is removed from the worker. */
export function endTask(runtime: TaskRuntime, entry: TaskEntry, end: TaskEnd): void {
  const { context, reports } = runtime;
  entry.phase = TaskPhase.Ended;
  context.instances.remove(entry.taskId);
  // The next heartbeat must include the capacity that this end frees.
  updateCapacityReport(runtime);
  context.isHeartbeatDue = true;
  context.metrics.count('tasks_ended_total', { kind: end.kind });
  reports.add(
    {
      kind: end.kind,
      key: entry.key ?? '',
      taskId: entry.taskId,
      attempt: entry.attempt,
      holder: { agentId: context.settings.agentId, incarnation: entry.incarnation },
      checkpointKey: entry.checkpointKey,
      reason: end.reason,
      decision: end.decision ?? null,
    },
    () => {
      removeFromWorker(runtime, entry).catch(() => {});
    },
  );
}

/** Executes the stop order of a task. Idempotent, so it can be called again after any failure. */
export async function executeStopOrder(runtime: TaskRuntime, entry: TaskEntry): Promise<void> {
  const { stopOrder: order } = entry;
  const { clock } = runtime.context;
  if (order === null || entry.isLocked || entry.phase === TaskPhase.Ended) {
    return;
  }
  if (clock.now() < entry.retryAt) {
    return;
  }
  if (entry.phase === TaskPhase.Unadopted && order.checkpoint) {
    // Only the row shows whether this agent may return the task, and the adopter has not read it yet.
    return;
  }
  entry.isLocked = true;
  try {
    if (order.checkpoint) {
      await evict(runtime, entry, order);
    } else {
      await stopOnWorker(runtime, entry);
      runtime.context.instances.remove(entry.taskId);
      runtime.tasks.remove(entry);
      runtime.context.isHeartbeatDue = true;
    }
  } catch (error) {
    entry.retryAt = clock.now() + RETRY_AFTER_MS;
    const { message } = toError(error);
    runtime.context.logger.debug(
      { task: entry.taskId, error: message },
      'stopping the task failed; will retry',
    );
  } finally {
    entry.isLocked = false;
  }
}

/** Saves a checkpoint, stops the task, and then reports it as evicted, so its owner can place it again. */
async function evict(runtime: TaskRuntime, entry: TaskEntry, order: StopOrder): Promise<void> {
  if (entry.phase === TaskPhase.Running && isCheckpointable(runtime, entry)) {
    await saveCheckpoint(runtime, entry, order);
  }
  await stopOnWorker(runtime, entry);
  const { reason, decision } = order;
  endTask(runtime, entry, { kind: TaskReportKind.Evicted, reason, decision });
}

/** Each checkpoint has a unique key, so a delayed write cannot overwrite a newer checkpoint. */
async function saveCheckpoint(
  runtime: TaskRuntime,
  entry: TaskEntry,
  order: StopOrder,
): Promise<void> {
  const { context } = runtime;
  if (!holdsLease(context)) {
    throw new AgentError('the lease has expired, so the worker has suspended the task');
  }
  try {
    const result = await context.worker.checkpoint(entry.taskId, {
      incarnation: context.incarnation,
      attempt: entry.attempt,
      checkpointKey: `checkpoints/${entry.taskId}/${entry.attempt}-${randomUUID()}`,
    });
    entry.checkpointKey = result.checkpointKey;
    entry.progress = result.progress;
  } catch (error) {
    runtime.checkpointFailedAt = context.clock.now();
    if (order.isBestEffort === true && entry.stopOrder === order) {
      entry.stopOrder = null;
    }
    throw error;
  }
}

/** Stops exactly this attempt on the worker; an instance is stopped gracefully. */
export async function stopOnWorker({ context }: TaskRuntime, entry: TaskEntry): Promise<void> {
  await context.worker.stop(entry.taskId, {
    incarnation: context.incarnation,
    attempt: entry.attempt,
    graceful: entry.type === TaskType.Instance,
  });
}

/** If the worker is unreachable, the poller finds the task in the worker's list later. */
async function removeFromWorker(runtime: TaskRuntime, entry: TaskEntry): Promise<void> {
  try {
    await stopOnWorker(runtime, entry);
  } finally {
    runtime.tasks.remove(entry);
  }
}
