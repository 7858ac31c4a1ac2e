/**
 * Notes which tasks are to end here. The stop itself happens in the loop and is repeated until it is done.
 */
import { TaskType } from '@figjunction/types';
import type { TaskStopParameters } from '@figjunction/types';
import { TaskPhase } from './task-table.js';
import type { StopOrder, TaskEntry } from './task-table.js';
import { executeStopOrder } from './task-ender.js';
import type { TaskRuntime } from './task-runtime.js';

/** The attempt number alone identifies what to stop; an adopted task keeps it across incarnations. */
export function recordStopOrders(runtime: TaskRuntime, parameters: TaskStopParameters): void {
  const { checkpoint, reason } = parameters;
  for (const { taskId, attempt } of parameters.tasks) {
    const entry = runtime.tasks.findAttempt(taskId, attempt);
    if (entry !== undefined) {
      orderStop(runtime, entry, { checkpoint, reason });
    }
  }
}

export function orderStop(runtime: TaskRuntime, entry: TaskEntry, order: StopOrder): void {
  if (entry.phase === TaskPhase.Reserved) {
    runtime.tasks.remove(entry);
    return;
  }
  // Dropping the work overrides giving it back, never the other way round.
  if (entry.order === null || !order.checkpoint) {
    entry.order = order;
  }
  const instance = runtime.context.instances.get(entry.taskId);
  if (instance !== undefined && !instance.draining) {
    instance.draining = true;
    runtime.context.heartbeatDue = true;
  }
}

export async function executeStopOrders(runtime: TaskRuntime): Promise<void> {
  const ready = runtime.tasks
    .all()
    .filter((entry) => entry.order !== null && !isInUse(runtime, entry));
  await Promise.all(ready.map((entry) => executeStopOrder(runtime, entry)));
}

/** An instance finishes the requests and watches that it has before it is stopped. */
function isInUse({ context }: TaskRuntime, entry: TaskEntry): boolean {
  const instance = context.instances.get(entry.taskId);
  return (
    entry.type === TaskType.Instance &&
    instance !== undefined &&
    (instance.slotsUsed > 0 || instance.connectionsUsed > 0)
  );
}
