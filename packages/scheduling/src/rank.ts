/**
 * Ranks the steps with waiting tasks for placement.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import type { OccurrenceRecord, StepRecord } from './records.js';
import { estimateWaitingWork } from './work-estimates.js';

/** A late job still has value if it ends within this multiple of its objective. */
const LATE_VALUE_FACTOR = 3;

/** Higher than the priority of any queue. */
const RESTART_PRIORITY = Number.MIN_SAFE_INTEGER;

export enum Timeliness {
  /** The job can still meet its objective. */
  OnTime = 0,
  /** The job misses its objective but still has value. */
  Late = 1,
  /** The job would end so late that it has no value. */
  TooLate = 2,
}

export interface RankedStep {
  step: StepRecord;
  timeliness: Timeliness;
  /** Lower values are placed first. */
  priority: number;
  /** Value of the job per core-millisecond of its work that is not placed yet. */
  valueDensity: number;
}

/**
 * The value of a job is a base value plus a weight times its work relative to the mean of its queue, up to a
 * maximum.
 */
const BASE_VALUE = 0.3;
const SIZE_VALUE_WEIGHT = 0.7;
const VALUE_MAXIMUM = 4;

/** The ready steps with waiting tasks, in the order of placement. */
export function rankSteps(state: CellState, now: Instant): RankedStep[] {
  const ranked: RankedStep[] = [];
  for (const occurrence of state.active) {
    for (const step of occurrence.steps) {
      if (step.ready && step.waiting.size > 0) {
        ranked.push(rankStep(state, step, now));
      }
    }
  }
  return ranked.sort(compareRanks);
}

function rankStep(state: CellState, step: StepRecord, now: Instant): RankedStep {
  const { occurrence, specification } = step;
  const { priority } = state.getPolicy(occurrence.job);
  if (specification.longRunning) {
    return {
      step,
      timeliness: Timeliness.OnTime,
      priority: rankLongRunning(step, priority),
      valueDensity: 0,
    };
  }
  const timeliness = computeTimeliness(state, step, now);
  return { step, timeliness, priority, valueDensity: computeValueDensity(state, occurrence) };
}

/**
 * Tasks that have run before come first: callers rely on them. New ones come after the batch jobs of their queue's
 * priority that can be in time, since they take room for good.
 */
function rankLongRunning({ waiting }: StepRecord, priority: number): number {
  return [...waiting].some(({ hasRun }) => hasRun) ? RESTART_PRIORITY : priority;
}

/** What the job can still achieve if the step starts now and each task takes as long as estimated. */
export function computeTimeliness(state: CellState, step: StepRecord, now: Instant): Timeliness {
  const { occurrence } = step;
  const objectiveMs = computeObjectiveMs(state, occurrence);
  const latestOnTimeStart = occurrence.dueAt + objectiveMs - step.criticalPathMs;
  const latestUsefulStart =
    occurrence.dueAt + LATE_VALUE_FACTOR * objectiveMs - step.criticalPathMs;
  if (now > latestUsefulStart) {
    return Timeliness.TooLate;
  }
  return now > latestOnTimeStart ? Timeliness.Late : Timeliness.OnTime;
}

/**
 * Highest for small jobs and for those that need little more room than their runs hold, which yield the most value for
 * the capacity they take. What runs already takes its room in any order.
 */
function computeValueDensity(state: CellState, occurrence: OccurrenceRecord): number {
  const { job, work } = occurrence;
  const meanWork = state.meanWork.get(job.policy.name)?.mean ?? work;
  const value = BASE_VALUE + SIZE_VALUE_WEIGHT * (meanWork === 0 ? 1 : work / meanWork);
  return Math.min(VALUE_MAXIMUM, value) / Math.max(1, estimateWaitingWork(occurrence));
}

/** The queue's objective for the time from the due time of an occurrence to its end, in milliseconds. */
function computeObjectiveMs(state: CellState, occurrence: OccurrenceRecord): number {
  const { slackFactor, objectiveMs } = state.getPolicy(occurrence.job);
  const criticalPathMs = Math.max(...occurrence.steps.map((step) => step.criticalPathMs));
  return slackFactor * criticalPathMs + objectiveMs;
}

function compareRanks(left: RankedStep, right: RankedStep): number {
  return (
    left.timeliness - right.timeliness ||
    left.priority - right.priority ||
    right.valueDensity - left.valueDensity
  );
}
