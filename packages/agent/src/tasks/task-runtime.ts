/**
 * The state that the parts of the task module share, and the checks that guard its effects.
 */
import { createEstimateTable } from '@figjunction/decisions';
import type { EstimateTable, KindRestraint } from '@figjunction/decisions';
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
  /** The VM is being emptied for good, as opposed to handed over to the next incarnation. */
  draining: boolean;
  /** When the worker last failed to save a checkpoint. */
  checkpointFailedAt: Instant;
  usageListeners: ((usage: WorkerUsage) => void)[];
  /** What the guards allow further tasks of a kind; null when they do not restrain it. */
  restraintOf: (kind: KindName) => KindRestraint | null;
}

/**
 * An instance may outlive the agent's lease: a second copy of it is harmless, and requests must go on
 * while the table is down. It still stops within this time when the agent is gone.
 */
const INSTANCE_LEASE_MS = 10_000;

const runtimes = new WeakMap<AgentContext, TaskRuntime>();

/** The one runtime of an agent; the guards use the same tables as the task module. */
export function taskRuntimeOf(context: AgentContext): TaskRuntime {
  const known = runtimes.get(context);
  if (known !== undefined) {
    return known;
  }
  const runtime: TaskRuntime = {
    context,
    tasks: new TaskTable(),
    reports: new ReportQueue(context),
    estimates: createEstimateTable(),
    draining: false,
    checkpointFailedAt: Number.NEGATIVE_INFINITY,
    usageListeners: [],
    restraintOf: () => null,
  };
  runtimes.set(context, runtime);
  return runtime;
}

/** Read anew before every effect: the process may have been paused since the last look. */
export function holdsLease(context: AgentContext): boolean {
  return context.incarnation > 0 && context.clock.now() < context.leaseDeadline;
}

/** The deadline until which the worker may run a task without hearing from the agent. */
export function computeWorkerLeaseDeadline(context: AgentContext, type: TaskType): Instant {
  return type === TaskType.Instance
    ? Math.max(context.leaseDeadline, context.clock.now() + INSTANCE_LEASE_MS)
    : context.leaseDeadline;
}
