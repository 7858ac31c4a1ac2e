/**
 * Computes the load that each task puts on this VM, the free capacity, and the cost of evicting a task.
 */
import {
  getAccountedSize,
  estimateSize,
  calculateWorstCaseFreeCapacity,
  calculateFreeCapacity,
  isKindSizeKnown,
  estimateSizeFromSamples,
  maximumOfResources,
  minimumOfResources,
  describeCapacityShortage,
  sumResources,
} from '@figjunction/decisions';
import type { OverloadTask, TaskLoad } from '@figjunction/decisions';
import { TaskType } from '@figjunction/types';
import type { AgentKindSlice, KindName, Resources } from '@figjunction/types';
import { TaskPhase } from './task-table.js';
import type { TaskEntry } from './task-table.js';
import type { TaskRuntime } from './task-runtime.js';

/** Approximate work lost by moving a run: time for the checkpoint and the restart. */
const RESTART_COST_SECONDS = 5;

const MILLISECONDS_PER_SECOND = 1_000;

/** The fields of a task entry that determine its load. */
export type SizedTask = Pick<TaskEntry, 'type' | 'kind' | 'declared' | 'isSizeKnown' | 'measured'>;

/** Without learning, the declared size is taken as it is. Instances are never of unknown size. */
export function computeLoad(runtime: TaskRuntime, task: SizedTask): TaskLoad {
  const { declared, measured, kind } = task;
  const isBatch = task.type === TaskType.Batch;
  if (!runtime.context.settings.policy.learning) {
    return { declared, estimated: declared, measured: null, isSizeUnknown: false, isBatch };
  }
  if (!isBatch) {
    return { declared, estimated: declared, measured, isSizeUnknown: false, isBatch };
  }
  const configured = findKind(runtime, kind)?.declaredSize ?? declared;
  const isKnownHere = isKindSizeKnown(runtime.estimates, kind);
  return {
    declared: configured,
    estimated: estimateTaskSize(runtime, task, configured),
    measured,
    isSizeUnknown: !isKnownHere && !task.isSizeKnown && measured === null,
    isBatch,
  };
}

/**
 * Entries receive the measurements of all agents, so they learn the size of a kind sooner than one agent
 * does. The entry's size is used, but never less than this agent has measured. Until this agent knows the
 * kind, the entry's size may exceed the local estimate, which is then only the declared size; declared sizes
 * were up to 5 times too small.
 */
function estimateTaskSize(runtime: TaskRuntime, task: SizedTask, configured: Resources): Resources {
  const { estimates } = runtime;
  const localEstimate = estimateSize(estimates, task.kind, configured);
  if (!task.isSizeKnown) {
    return localEstimate;
  }
  const fromEntry = maximumOfResources(
    task.declared,
    estimateSizeFromSamples(estimates, task.kind),
  );
  return isKindSizeKnown(estimates, task.kind)
    ? minimumOfResources(localEstimate, fromEntry)
    : fromEntry;
}

/** The loads of all tasks that occupy capacity, which excludes ended tasks. */
function computeLoads(runtime: TaskRuntime, except?: TaskEntry): TaskLoad[] {
  return runtime.tasks
    .all()
    .filter((entry) => entry.phase !== TaskPhase.Ended && entry !== except)
    .map((entry) => computeLoad(runtime, entry));
}

/**
 * Capacity left for new work; negative where tasks use more than they were admitted with. While tasks of
 * unknown size are present, capacity for their worst case is excluded, because admission would refuse it.
 */
export function computeFreeCapacity(runtime: TaskRuntime): Resources {
  const { capacity } = runtime.context.capacityReport;
  const loads = computeLoads(runtime);
  return loads.some(({ isSizeUnknown }) => isSizeUnknown)
    ? calculateWorstCaseFreeCapacity(capacity, loads)
    : calculateFreeCapacity(capacity, loads);
}

export function sumCountedSizes(runtime: TaskRuntime): Resources {
  return sumResources(computeLoads(runtime).map(getAccountedSize));
}

/** Returns null if the candidate fits beside all other tasks, otherwise the reason why it does not. */
export function findCapacityRefusal(
  runtime: TaskRuntime,
  candidate: SizedTask,
  except?: TaskEntry,
): string | null {
  const loads = computeLoads(runtime, except);
  return describeCapacityShortage(
    runtime.context.capacityReport.capacity,
    loads,
    computeLoad(runtime, candidate),
  );
}

export function createOverloadTask(runtime: TaskRuntime, entry: TaskEntry): OverloadTask {
  const load = computeLoad(runtime, entry);
  return {
    ...load,
    isSizeUnknown: load.isSizeUnknown && !entry.isAdopted,
    taskId: entry.taskId,
    lossCost: computeLossCost(runtime, entry),
  };
}

/** Seconds of work lost if the task is evicted now, weighted by the loss weight of its kind. */
export function computeLossCost(runtime: TaskRuntime, entry: TaskEntry): number {
  const runMs = Math.max(0, runtime.context.clock.now() - entry.startedAt);
  const lostSeconds = isCheckpointable(runtime, entry)
    ? RESTART_COST_SECONDS
    : RESTART_COST_SECONDS + runMs / MILLISECONDS_PER_SECOND;
  // Progress breaks ties: of two otherwise equal runs, the one closer to its end costs more.
  return (findKind(runtime, entry.kind)?.lossWeight ?? 1) * (lostSeconds + entry.progress);
}

export function isCheckpointable(runtime: TaskRuntime, entry: TaskEntry): boolean {
  const kind = findKind(runtime, entry.kind);
  return entry.type === TaskType.Batch && (kind?.checkpointable ?? true);
}

function findKind({ context }: TaskRuntime, kind: KindName): AgentKindSlice | undefined {
  return context.configuration.current()?.kinds.find((candidate) => candidate.kind === kind);
}
