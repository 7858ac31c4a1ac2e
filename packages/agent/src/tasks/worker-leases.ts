/**
 * Extends the leases under which the worker runs tasks, only for tasks whose rows name this incarnation.
 */
import { TaskType } from '@figjunction/types';
import { TaskPhase } from './task-table.js';
import { holdsLease, computeWorkerLeaseDeadline } from './task-runtime.js';
import type { TaskRuntime } from './task-runtime.js';

/** Batch runs get the deadline of the agent's lease, so the worker suspends them when that expires. */
export async function extendBatchLeases(runtime: TaskRuntime): Promise<void> {
  if (holdsLease(runtime.context)) {
    await extendLeasesOf(runtime, TaskType.Batch);
  }
}

/** Instances are extended without the agent's lease, so they run while it cannot be renewed. */
export async function extendInstanceLeases(runtime: TaskRuntime): Promise<void> {
  await extendLeasesOf(runtime, TaskType.Instance);
}

async function extendLeasesOf(runtime: TaskRuntime, type: TaskType): Promise<void> {
  const { context, tasks } = runtime;
  const leasedTasks = tasks
    .inPhase(TaskPhase.Running)
    .filter((entry) => entry.type === type && entry.incarnation === context.incarnation)
    .map(({ taskId, attempt }) => ({ taskId, attempt }));
  if (leasedTasks.length > 0) {
    await context.worker.extendLeases({
      incarnation: context.incarnation,
      leaseDeadlineHostMs: computeWorkerLeaseDeadline(context, type),
      tasks: leasedTasks,
    });
  }
}
