/**
 * What each task on this VM counts for, and what it costs to lose it.
 */
import {
  countedSize,
  estimateSize,
  freeForWorstCase,
  freeRoom,
  isKindKnown,
  learntSize,
  maximumOfResources,
  minimumOfResources,
  refusalForRoom,
  sumResources,
} from '@figjunction/decisions';
import type { OverloadTask, RoomLoad } from '@figjunction/decisions';
import { TaskType } from '@figjunction/types';
import type { AgentKindSlice, KindName, Resources } from '@figjunction/types';
import { TaskPhase } from './task-table.js';
import type { TaskEntry } from './task-table.js';
import type { TaskRuntime } from './task-runtime.js';

/** A move costs about this much work of the run, for the checkpoint and the new start. */
const RESTART_COST_SECONDS = 5;

const MILLISECONDS_PER_SECOND = 1_000;

/** The parts of a task entry that its size depends on. */
export type SizedTask = Pick<TaskEntry, 'type' | 'kind' | 'declared' | 'isSizeKnown' | 'measured'>;

export function computeLoad(runtime: TaskRuntime, task: SizedTask): RoomLoad {
  const { declared, measured, kind } = task;
  const isBatch = task.type === TaskType.Batch;
  if (!runtime.context.settings.policy.learning) {
    return { declared, estimated: declared, measured: null, isUnsure: false, isBatch };
  }
  if (!isBatch) {
    return { declared, estimated: declared, measured, isUnsure: false, isBatch };
  }
  const configured = findKind(runtime, kind)?.declaredSize ?? declared;
  const isKnownHere = isKindKnown(runtime.estimates, kind);
  return {
    declared: configured,
    estimated: estimateTaskSize(runtime, task, configured),
    measured,
    isUnsure: !isKnownHere && !task.isSizeKnown && measured === null,
    isBatch,
  };
}

/**
 * An entry hears the measurements of all agents, so it knows a kind sooner than one agent does. Its size is
 * taken, but never below what was measured here. It may be larger than what this agent expects: until the
 * kind is known here, that is only the declared size, which proved 5 times too small.
 */
function estimateTaskSize(runtime: TaskRuntime, task: SizedTask, configured: Resources): Resources {
  const { estimates } = runtime;
  const localEstimate = estimateSize(estimates, task.kind, configured);
  if (!task.isSizeKnown) {
    return localEstimate;
  }
  const fromEntry = maximumOfResources(task.declared, learntSize(estimates, task.kind));
  return isKindKnown(estimates, task.kind)
    ? minimumOfResources(localEstimate, fromEntry)
    : fromEntry;
}

/** Everything that takes room: all but tasks that have left the worker. */
function computeLoads(runtime: TaskRuntime, except?: TaskEntry): RoomLoad[] {
  return runtime.tasks
    .all()
    .filter((entry) => entry.phase !== TaskPhase.Ended && entry !== except)
    .map((entry) => computeLoad(runtime, entry));
}

/**
 * What is left for new work; negative where tasks use more than they were admitted with. Room for the worst
 * case of tasks of unknown size is not offered, because it would be refused.
 */
export function computeFreeCapacity(runtime: TaskRuntime): Resources {
  const { capacity } = runtime.context.room;
  const loads = computeLoads(runtime);
  return loads.some(({ isUnsure }) => isUnsure)
    ? freeForWorstCase(capacity, loads)
    : freeRoom(capacity, loads);
}

export function sumCountedSizes(runtime: TaskRuntime): Resources {
  return sumResources(computeLoads(runtime).map(countedSize));
}

/** Null when the candidate fits beside everything else, else why not. */
export function findCapacityRefusal(
  runtime: TaskRuntime,
  candidate: SizedTask,
  except?: TaskEntry,
): string | null {
  const loads = computeLoads(runtime, except);
  return refusalForRoom(runtime.context.room.capacity, loads, computeLoad(runtime, candidate));
}

export function createOverloadTask(runtime: TaskRuntime, entry: TaskEntry): OverloadTask {
  const load = computeLoad(runtime, entry);
  return {
    ...load,
    isUnsure: load.isUnsure && !entry.isAdopted,
    taskId: entry.taskId,
    lossCost: lossCostOf(runtime, entry),
  };
}

/** Seconds of work that are lost when the task leaves now, weighted by its kind. */
export function lossCostOf(runtime: TaskRuntime, entry: TaskEntry): number {
  const runMs = Math.max(0, runtime.context.clock.now() - entry.startedAt);
  const lostSeconds = isCheckpointable(runtime, entry)
    ? RESTART_COST_SECONDS
    : RESTART_COST_SECONDS + runMs / MILLISECONDS_PER_SECOND;
  // Of two equal runs, the one that will end sooner stays.
  return (findKind(runtime, entry.kind)?.lossWeight ?? 1) * (lostSeconds + entry.progress);
}

export function isCheckpointable(runtime: TaskRuntime, entry: TaskEntry): boolean {
  const kind = findKind(runtime, entry.kind);
  return entry.type === TaskType.Batch && (kind?.checkpointable ?? true);
}

function findKind({ context }: TaskRuntime, kind: KindName): AgentKindSlice | undefined {
  return context.configuration.current()?.kinds.find((candidate) => candidate.kind === kind);
}
