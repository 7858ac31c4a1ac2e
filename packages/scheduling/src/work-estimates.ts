/**
 * Estimates of how long the tasks of a step take. The estimate that comes with a job may be off by several times,
 * while the tasks of one step take about as long as each other; so the progress of the first ones tells more.
 */
import type { Instant } from '@figjunction/time';
import { RunPhase } from './records.js';
import type { OccurrenceRecord, RunRecord, StepRecord } from './records.js';

const MILLICORES_PER_CORE = 1_000;
/** Weight of an accelerator in sums of work, in cores. */
const CORES_PER_ACCELERATOR = 8;
const FULL_PERCENT = 100;
/** The given estimate counts as much as this part of a task that has been observed. */
const GIVEN_ESTIMATE_WEIGHT = 0.25;
/** Smaller changes, as a share, are not worth computing the sums of a job again. */
const RELEVANT_CHANGE = 0.05;
/** A filler run that uses less than this share of what it asks for is slowed down, and says little of its step. */
const SLOWED_SHARE = 0.5;
/** A measurement covers this time, so that of a younger run is incomplete. */
const MEASUREMENT_MS = 500;

/** Estimated core-milliseconds of one task of the step. */
function estimateTaskWork({ specification, taskMs }: StepRecord): number {
  const { processorMillicores, accelerators } = specification.resources;
  const cores = processorMillicores / MILLICORES_PER_CORE + accelerators * CORES_PER_ACCELERATOR;
  return cores * taskMs;
}

/** Computes the estimates of an occurrence from those of its steps. */
export function updateEstimates(occurrence: OccurrenceRecord): void {
  const { steps } = occurrence;
  for (const step of [...steps].reverse()) {
    const successors = steps.filter((other) => other.specification.after.includes(step.index));
    const remainingMs = Math.max(0, ...successors.map((successor) => successor.criticalPathMs));
    step.criticalPathMs = step.taskMs + remainingMs;
  }
  occurrence.work = steps.reduce(
    (sum, step) => sum + step.tasks.length * estimateTaskWork(step),
    0,
  );
}

/** Estimated core-milliseconds of the tasks that are not done and have no run. */
export function estimateWaitingWork({ steps }: OccurrenceRecord): number {
  return steps.reduce((sum, step) => sum + step.waiting.size * estimateTaskWork(step), 0);
}

/**
 * Call it when the answer to a start order arrives, before the run is confirmed. The progress of other runs counts only
 * from their first list on: they may have run for some time, or resumed from a checkpoint.
 */
export function beginObservation(run: RunRecord, now: Instant): void {
  if (run.phase === RunPhase.Ordered && run.task.checkpoint === '') {
    run.observedAt = now;
  }
}

/** Learns from the progress of a run since it was last observed. Call it before the new progress is recorded. */
export function observeProgress(run: RunRecord, percent: number, now: Instant): void {
  const { observedAt } = run;
  const { step } = run.task;
  const isBaseline = observedAt === null || isSlowed(run, now);
  if (isBaseline || percent > run.percent) {
    run.observedAt = now;
  }
  // Time without progress counts once there is some: a run that stands still shows the state of its VM.
  if (isBaseline || percent <= run.percent || step.specification.longRunning) {
    return;
  }
  step.observed.durationMs += now - observedAt;
  step.observed.tasks += (percent - run.percent) / FULL_PERCENT;
  const taskMs = estimateTaskMs(step);
  if (Math.abs(taskMs - step.taskMs) > RELEVANT_CHANGE * step.taskMs) {
    step.taskMs = taskMs;
    updateEstimates(step.occurrence);
  }
}

/** Learns from a run that has ended as done. */
export function observeCompletion(run: RunRecord, now: Instant): void {
  observeProgress(run, FULL_PERCENT, now);
}

function estimateTaskMs({ specification, observed }: StepRecord): number {
  const givenMs = GIVEN_ESTIMATE_WEIGHT * specification.estimateMs;
  return (givenMs + observed.durationMs) / (GIVEN_ESTIMATE_WEIGHT + observed.tasks);
}

function isSlowed({ task, measurement, runningSince }: RunRecord, now: Instant): boolean {
  const { fills, resources } = task.step.specification;
  const isMeasured = now - runningSince >= MEASUREMENT_MS && measurement > 0;
  return fills && isMeasured && measurement < SLOWED_SHARE * resources.processorMillicores;
}
