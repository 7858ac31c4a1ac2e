/**
 * Handles a VM whose tasks turn out larger than their size at admission. Batch tasks are throttled
 * immediately to reduce processor use, those with the lowest loss cost first. Memory and accelerators cannot
 * be throttled, and throttling is not a lasting solution; in these cases the cheapest tasks are evicted.
 */
import type { Resources, TaskId } from '@figjunction/types';
import {
  NO_RESOURCES,
  isWithinCapacity,
  subtractResources,
  sumResources,
} from './resource-arithmetic.js';
import { getAccountedSize, getWorstCaseSize } from './free-capacity.js';
import type { TaskLoad } from './free-capacity.js';

/** A throttled task keeps this fraction of its processors, so that it can still save a checkpoint. */
export const THROTTLE_FLOOR = 0.05;

export interface OverloadTask extends TaskLoad {
  taskId: TaskId;
  /** Work that is lost when the task is evicted now, weighted by its kind. */
  lossCost: number;
}

/**
 * Returns the throttle (0 to 1, where 1 is unthrottled) of each batch task that keeps the VM within its
 * processors. Tasks of unknown size are throttled first, because only they may exceed their accounted size.
 */
export function planThrottles(
  capacity: Resources,
  tasks: readonly OverloadTask[],
): Map<TaskId, number> {
  const processorsOf = (task: OverloadTask): number => getWorstCaseSize(task).processorMillicores;
  let excess =
    tasks.reduce((sum, task) => sum + processorsOf(task), 0) - capacity.processorMillicores;
  const throttles = new Map<TaskId, number>();
  for (const task of sortForThrottling(tasks.filter(({ isBatch }) => isBatch))) {
    const processors = processorsOf(task);
    const cut = Math.min(Math.max(0, excess), processors * (1 - THROTTLE_FLOOR));
    excess -= cut;
    throttles.set(task.taskId, processors === 0 ? 1 : 1 - cut / processors);
  }
  return throttles;
}

/** Returns the batch tasks to evict, cheapest first, until the given resources are within capacity. */
export function planOverloadEvictions(
  capacity: Resources,
  tasks: readonly OverloadTask[],
  resources: readonly (keyof Resources)[],
): TaskId[] {
  let excess = pickResources(
    subtractResources(sumResources(tasks.map(getAccountedSize)), capacity),
    resources,
  );
  const evicted: TaskId[] = [];
  for (const task of sortByLossCost(tasks.filter(({ isBatch }) => isBatch))) {
    if (isWithinCapacity(excess, NO_RESOURCES)) {
      break;
    }
    if (usesExceededResource(task, excess)) {
      evicted.push(task.taskId);
      excess = subtractResources(excess, getAccountedSize(task));
    }
  }
  return evicted;
}

function pickResources(excess: Resources, resources: readonly (keyof Resources)[]): Resources {
  const result = { ...NO_RESOURCES };
  for (const name of resources) {
    result[name] = excess[name];
  }
  return result;
}

function usesExceededResource(task: OverloadTask, excess: Resources): boolean {
  const size = getAccountedSize(task);
  return (Object.keys(excess) as (keyof Resources)[]).some(
    (name) => excess[name] > 0 && size[name] > 0,
  );
}

function sortForThrottling(tasks: readonly OverloadTask[]): OverloadTask[] {
  return [...tasks].sort(
    (left, right) =>
      Number(right.isSizeUnknown) - Number(left.isSizeUnknown) || left.lossCost - right.lossCost,
  );
}

function sortByLossCost(tasks: readonly OverloadTask[]): OverloadTask[] {
  return [...tasks].sort((left, right) => left.lossCost - right.lossCost);
}
