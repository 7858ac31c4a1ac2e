/**
 * What to do when tasks on a VM turn out larger than they were admitted with. Processors are cut at once
 * by throttling batch work, cheapest to lose first. Memory and accelerators cannot be throttled, and a
 * throttle is no lasting answer: then the cheapest tasks leave.
 */
import type { Resources, TaskId } from '@figjunction/types';
import {
  NO_RESOURCES,
  isWithinRoom,
  subtractResources,
  sumResources,
} from './resource-arithmetic.js';
import { countedSize, worstCaseSize } from './free-capacity.js';
import type { RoomLoad } from './free-capacity.js';

/** A throttled task keeps this fraction of its processors, so that it can still save a checkpoint. */
export const THROTTLE_FLOOR = 0.05;

export interface OverloadTask extends RoomLoad {
  taskId: TaskId;
  /** Work that is lost when the task leaves now, weighted by its kind. */
  lossCost: number;
}

/**
 * The throttle of each batch task with which the processors suffice; 1 for most. Tasks of unknown size are
 * throttled first, because only they may be larger than counted.
 */
export function planThrottles(
  capacity: Resources,
  tasks: readonly OverloadTask[],
): Map<TaskId, number> {
  const processorsOf = (task: OverloadTask): number => worstCaseSize(task).processorMillicores;
  let excess =
    tasks.reduce((sum, task) => sum + processorsOf(task), 0) - capacity.processorMillicores;
  const throttles = new Map<TaskId, number>();
  for (const task of inThrottleOrder(tasks.filter(({ isBatch }) => isBatch))) {
    const processors = processorsOf(task);
    const cut = Math.min(Math.max(0, excess), processors * (1 - THROTTLE_FLOOR));
    excess -= cut;
    throttles.set(task.taskId, processors === 0 ? 1 : 1 - cut / processors);
  }
  return throttles;
}

/** Batch tasks, cheapest first, without which everything else fits; empty when all fit. */
export function planOverloadEvictions(
  capacity: Resources,
  tasks: readonly OverloadTask[],
  resources: readonly (keyof Resources)[],
): TaskId[] {
  let over = onlyResources(
    subtractResources(sumResources(tasks.map(countedSize)), capacity),
    resources,
  );
  const leaving: TaskId[] = [];
  for (const task of cheapestFirst(tasks.filter(({ isBatch }) => isBatch))) {
    if (isWithinRoom(over, NO_RESOURCES)) {
      break;
    }
    if (helps(task, over)) {
      leaving.push(task.taskId);
      over = subtractResources(over, countedSize(task));
    }
  }
  return leaving;
}

function onlyResources(over: Resources, resources: readonly (keyof Resources)[]): Resources {
  const result = { ...NO_RESOURCES };
  for (const name of resources) {
    result[name] = over[name];
  }
  return result;
}

function helps(task: OverloadTask, over: Resources): boolean {
  const size = countedSize(task);
  return (Object.keys(over) as (keyof Resources)[]).some(
    (name) => over[name] > 0 && size[name] > 0,
  );
}

function inThrottleOrder(tasks: readonly OverloadTask[]): OverloadTask[] {
  return [...tasks].sort(
    (left, right) =>
      Number(right.isUnsure) - Number(left.isUnsure) || left.lossCost - right.lossCost,
  );
}

function cheapestFirst(tasks: readonly OverloadTask[]): OverloadTask[] {
  return [...tasks].sort((left, right) => left.lossCost - right.lossCost);
}
