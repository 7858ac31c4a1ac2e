/**
 * Records stop orders on task entries. A system executes them on later ticks and retries until the task has
 * stopped.
 */
import { TaskType } from '@figjunction/types';
import type { TaskStopParameters } from '@figjunction/types';
import { TaskPhase } from './task-table.js';
import type { StopOrder, TaskEntry } from './task-table.js';
import { executeStopOrder } from './task-ender.js';
import type { TaskRuntime } from './task-runtime.js';

/** Matches tasks by attempt and not by incarnation, because an adopted task keeps its attempt number. */
export function recordStopOrders(runtime: TaskRuntime, parameters: TaskStopParameters): void {
  const { checkpoint, reason } = parameters;
  for (const { taskId, attempt } of parameters.tasks) {
    const entry = runtime.tasks.findAttempt(taskId, attempt);
    if (entry !== undefined) {
      orderStop(runtime, entry, { checkpoint, reason });
    }
  }
}

/** Records a stop order for the task; a reservation is removed at once. */
export function orderStop(runtime: TaskRuntime, entry: TaskEntry, order: StopOrder): void {
  if (entry.phase === TaskPhase.Reserved) {
    runtime.tasks.remove(entry);
    return;
  }
  // An order without a checkpoint replaces one with a checkpoint, never the reverse.
  if (entry.stopOrder === null || !order.checkpoint) {
    entry.stopOrder = order;
  }
  const instance = runtime.context.instances.get(entry.taskId);
  if (instance !== undefined && !instance.draining) {
    instance.draining = true;
    runtime.context.isHeartbeatDue = true;
  }
}

/** Executes all stop orders whose tasks are not in use. */
export async function executeStopOrders(runtime: TaskRuntime): Promise<void> {
  const ready = runtime.tasks
    .all()
    .filter((entry) => entry.stopOrder !== null && !isInUse(runtime, entry));
  await Promise.all(ready.map((entry) => executeStopOrder(runtime, entry)));
}

/** An instance is stopped only after its requests and watches have ended. */
function isInUse({ context }: TaskRuntime, entry: TaskEntry): boolean {
  const instance = context.instances.get(entry.taskId);
  return (
    entry.type === TaskType.Instance &&
    instance !== undefined &&
    (instance.slotsUsed > 0 || instance.connectionsUsed > 0)
  );
}
