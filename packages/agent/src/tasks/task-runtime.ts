/**
 * State shared by the task module and the guards, and the lease checks that precede every call to the worker.
 */
import { createEstimateTable } from '@figjunction/decisions';
import type { EstimateTable, KindLimits } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { TaskType } from '@figjunction/types';
import type { KindName, WorkerUsage } from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';
import { ReportQueue } from './report-queue.js';
import { TaskTable } from './task-table.js';

export interface TaskRuntime {
  context: AgentContext;
  tasks: TaskTable;
  reports: ReportQueue;
  estimates: EstimateTable;
  /** Whether the VM is being drained. Without a drain, a planned stop leaves tasks to the next incarnation. */
  isDraining: boolean;
  /** When the worker last failed to save a checkpoint. */
  checkpointFailedAt: Instant;
  usageListeners: ((usage: WorkerUsage) => void)[];
  /** The limits that the guards set for further tasks of a kind; null if there are none. */
  findKindLimits: (kind: KindName) => KindLimits | null;
}

/**
 * An instance may outlive the agent's lease: a second copy is harmless, and requests must be served while
 * the table is unavailable. The worker stops it after this time without an extension from the agent.
 */
const INSTANCE_LEASE_MS = 10_000;

const runtimes = new WeakMap<AgentContext, TaskRuntime>();

/** Returns the one runtime of an agent, which the guards and the task module share; created on first use. */
export function getTaskRuntime(context: AgentContext): TaskRuntime {
  const known = runtimes.get(context);
  if (known !== undefined) {
    return known;
  }
  const runtime: TaskRuntime = {
    context,
    tasks: new TaskTable(),
    reports: new ReportQueue(context),
    estimates: createEstimateTable(),
    isDraining: false,
    checkpointFailedAt: Number.NEGATIVE_INFINITY,
    usageListeners: [],
    findKindLimits: () => null,
  };
  runtimes.set(context, runtime);
  return runtime;
}

/** Must be checked before every effect, because the process may have been paused since the last check. */
export function holdsLease(context: AgentContext): boolean {
  return context.incarnation > 0 && context.clock.now() < context.leaseDeadline;
}

/** Until when the worker may run a task without an extension from the agent. */
export function computeWorkerLeaseDeadline(context: AgentContext, type: TaskType): Instant {
  return type === TaskType.Instance
    ? Math.max(context.leaseDeadline, context.clock.now() + INSTANCE_LEASE_MS)
    : context.leaseDeadline;
}
