/**
 * Ranks the steps with waiting tasks for placement. Answers a load that does not fit for seconds at a time: jobs
 * that can still end in time go first, jobs that have begun are finished, and every size of job gets a share.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import type { OccurrenceRecord, StepRecord } from './records.js';

/** Before all batch work. */
const LONG_RUNNING_PRIORITY = -1;

/** A late job still has value if it ends within this multiple of its objective. */
const LATE_VALUE_FACTOR = 3;

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
  /** Jobs of the same timeliness and priority that have begun are placed before those that have not. */
  hasBegun: boolean;
  /** Order among these, highest first. */
  preference: number;
}

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
  if (specification.longRunning) {
    const priority = LONG_RUNNING_PRIORITY;
    return { step, timeliness: Timeliness.OnTime, priority, hasBegun: false, preference: 0 };
  }
  const { priority } = state.getPolicy(occurrence.job);
  const objectiveMs = computeObjectiveMs(state, occurrence);
  const latestOnTimeStart = occurrence.dueAt + objectiveMs - step.criticalPathMs;
  const latestUsefulStart =
    occurrence.dueAt + LATE_VALUE_FACTOR * objectiveMs - step.criticalPathMs;
  let timeliness = Timeliness.OnTime;
  if (now > latestUsefulStart) {
    timeliness = Timeliness.TooLate;
  } else if (now > latestOnTimeStart) {
    timeliness = Timeliness.Late;
  }
  const hasBegun = occurrence.startedAt !== null || occurrence.remainingWork < occurrence.work;
  const preference = hasBegun
    ? 1 / Math.max(1, occurrence.remainingWork)
    : computeChance(state, occurrence);
  return { step, timeliness, priority, hasBegun, preference };
}

/**
 * A weighted lottery among the jobs that have not begun. Smaller jobs are preferred, because more of them can be
 * served; a strict order by size would never serve the largest jobs of a queue whose load does not fit.
 */
function computeChance(state: CellState, { job, work }: OccurrenceRecord): number {
  const meanWork = state.meanWork.get(job.policy.name)?.mean ?? work;
  return Math.sqrt(meanWork / Math.max(1, work)) * job.lot;
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
    Number(right.hasBegun) - Number(left.hasBegun) ||
    right.preference - left.preference
  );
}
