/**
 * Summaries of a cell's queues for the log: what waits, how late it is, what keeps it from starting, and how fast
 * the runs of the last second were.
 */
import { Timeliness, findPlacementObstacle, rankSteps } from '@figjunction/scheduling';
import type {
  CellState,
  OccurrenceRecord,
  PlacementObstacle,
  RankedStep,
  RunRecord,
} from '@figjunction/scheduling';
import type { Instant } from '@figjunction/time';
import type { QueueActivityCounts } from './queue-activity.js';

export interface QueueSummary extends Record<string, unknown> {
  queue: string;
  activeJobs: number;
  /** Waiting tasks of ready steps whose jobs can still meet their objective. */
  waitingOnTime: number;
  /** Waiting tasks of ready steps whose jobs are late but have value. */
  waitingLate: number;
  /** Waiting tasks of ready steps whose jobs have no value left. */
  waitingTooLate: number;
  runs: number;
  millicores: number;
  memoryMegabytes: number;
  starts: number;
  stops: number;
  /** Mean time that the tasks started since the last summary had waited. */
  meanWaitedMs: number | null;
  /** Run time of the runs that ended since the last summary, as a multiple of their estimates. */
  pace: number | null;
  /** What keeps the first task of each of the first waiting steps from starting, with the number of steps. */
  obstacles: Partial<Record<PlacementObstacle, number>>;
}

/** Limits the work of a summary. */
const STEPS_EXAMINED_MAXIMUM = 10;

/** Returns a summary for each queue that has active jobs or had activity. */
export function summarizeQueues(
  state: CellState,
  activity: ReadonlyMap<string, QueueActivityCounts>,
  now: Instant,
): QueueSummary[] {
  const rankedSteps = groupByQueue(rankSteps(state, now), ({ step }) => step.occurrence);
  const active = groupByQueue([...state.active], (occurrence) => occurrence);
  const runs = groupByQueue(
    [...state.vms.values()].flatMap((vm) => [...vm.runs.values()]),
    ({ task }) => task.step.occurrence,
  );
  return [...new Set([...active.keys(), ...activity.keys()])].map((queue) => {
    const ofQueue = rankedSteps.get(queue) ?? [];
    return {
      queue,
      activeJobs: active.get(queue)?.length ?? 0,
      ...countWaiting(ofQueue),
      ...sumRuns(runs.get(queue) ?? []),
      ...summarizeActivity(activity.get(queue)),
      obstacles: countObstacles(state, ofQueue.slice(0, STEPS_EXAMINED_MAXIMUM), now),
    };
  });
}

function groupByQueue<Item>(
  items: Item[],
  occurrenceOf: (item: Item) => OccurrenceRecord,
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const { name } = occurrenceOf(item).job.policy;
    const group = groups.get(name) ?? [];
    groups.set(name, group);
    group.push(item);
  }
  return groups;
}

function countWaiting(rankedSteps: RankedStep[]) {
  const count = (wanted: Timeliness): number =>
    rankedSteps
      .filter(({ timeliness }) => timeliness === wanted)
      .reduce((sum, { step }) => sum + step.waiting.size, 0);
  return {
    waitingOnTime: count(Timeliness.OnTime),
    waitingLate: count(Timeliness.Late),
    waitingTooLate: count(Timeliness.TooLate),
  };
}

function sumRuns(runs: RunRecord[]) {
  const resources = runs.map(({ task }) => task.step.specification.resources);
  return {
    runs: runs.length,
    millicores: resources.reduce((sum, { processorMillicores }) => sum + processorMillicores, 0),
    memoryMegabytes: resources.reduce((sum, { memoryMegabytes }) => sum + memoryMegabytes, 0),
  };
}

function summarizeActivity(counts: QueueActivityCounts | undefined) {
  const { starts = 0, stops = 0, waitedMs = 0, tookMs = 0, estimateMs = 0 } = counts ?? {};
  return {
    starts,
    stops,
    meanWaitedMs: starts === 0 ? null : Math.round(waitedMs / starts),
    pace: estimateMs === 0 ? null : Number((tookMs / estimateMs).toFixed(2)),
  };
}

function countObstacles(
  state: CellState,
  rankedSteps: RankedStep[],
  now: Instant,
): Partial<Record<PlacementObstacle, number>> {
  const counts: Partial<Record<PlacementObstacle, number>> = {};
  for (const { step } of rankedSteps) {
    const [task] = step.waiting;
    if (task !== undefined) {
      const obstacle = findPlacementObstacle(state, task, now);
      counts[obstacle] = (counts[obstacle] ?? 0) + 1;
    }
  }
  return counts;
}
