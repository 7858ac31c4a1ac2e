/**
 * The order in which steps with waiting tasks get room.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import type { OccurrenceRecord, StepRecord } from './records.js';

/** Up to this many times the objective a late job is still of use. */
const LATE_FACTOR = 3;

export enum Timeliness {
  OnTime = 0,
  Late = 1,
  Hopeless = 2,
}

export interface RankedStep {
  step: StepRecord;
  timeliness: Timeliness;
  priority: number;
  /** Value of the job for each core-millisecond of its remaining work. */
  density: number;
}

/** A job is valued by a fixed share and by its size against the mean of its queue, up to a bound. */
const FIXED_VALUE = 0.3;
const VALUE_BY_SIZE = 0.7;
const VALUE_MAXIMUM = 4;

/** Steps with startable tasks, first the one that goes first. */
export function rankSteps(state: CellState, now: Instant): RankedStep[] {
  const ranked: RankedStep[] = [];
  for (const occurrence of state.active) {
    for (const step of occurrence.steps) {
      if (step.ready && step.waiting.size > 0) {
        ranked.push(rankStep(state, step, now));
      }
    }
  }
  return ranked.sort(compareRank);
}

function rankStep(state: CellState, step: StepRecord, now: Instant): RankedStep {
  const { occurrence, specification } = step;
  const { priority } = state.policyOf(occurrence.job);
  if (specification.longRunning) {
    return { step, timeliness: Timeliness.OnTime, priority: -1, density: 0 };
  }
  const objectiveMs = objectiveOf(state, occurrence);
  const latestStart = occurrence.dueAt + objectiveMs - step.criticalPathMs;
  const latestUseful = occurrence.dueAt + LATE_FACTOR * objectiveMs - step.criticalPathMs;
  let timeliness = Timeliness.OnTime;
  if (now > latestUseful) {
    timeliness = Timeliness.Hopeless;
  } else if (now > latestStart) {
    timeliness = Timeliness.Late;
  }
  return { step, timeliness, priority, density: densityOf(state, occurrence) };
}

/** Small and nearly finished jobs come first: they bring the most for the room they take. */
function densityOf(state: CellState, { job, work, remainingWork }: OccurrenceRecord): number {
  const mean = state.meanWork.get(job.policy.name)?.mean ?? work;
  const value = FIXED_VALUE + VALUE_BY_SIZE * (mean === 0 ? 1 : work / mean);
  return Math.min(VALUE_MAXIMUM, value) / Math.max(1, remainingWork);
}

/** Time from when an occurrence is due to the end that its queue asks for. */
function objectiveOf(state: CellState, occurrence: OccurrenceRecord): number {
  const { slackFactor, objectiveMs } = state.policyOf(occurrence.job);
  const criticalPathMs = Math.max(...occurrence.steps.map((step) => step.criticalPathMs));
  return slackFactor * criticalPathMs + objectiveMs;
}

function compareRank(left: RankedStep, right: RankedStep): number {
  return (
    left.timeliness - right.timeliness ||
    left.priority - right.priority ||
    right.density - left.density
  );
}
