/**
 * Limits on the size of one job. A scheduler holds all tasks of a job in memory, and each of its successors
 * loads the job again, so a single job without limits could take down every process of a cell in turn.
 */
import type { JobSpecification, StepSpecification } from '@figjunction/types';

const STEPS_MAXIMUM = 100;
export const TASKS_PER_STEP_MAXIMUM = 10_000;
const OCCURRENCES_MAXIMUM = 1_000;
/** Over all steps and occurrences. */
const TASKS_MAXIMUM = 20_000;

/** Returns which limit the specification exceeds, or which of its sizes is no number; null if none. */
export function findJobLimitViolation(specification: JobSpecification): string | null {
  const { steps, occurrences, firstDueWallMs, intervalMs } = specification;
  if (!Array.isArray(steps) || steps.length === 0 || steps.length > STEPS_MAXIMUM) {
    return `a job must have 1 to ${STEPS_MAXIMUM} steps`;
  }
  if (!steps.every(hasValidTaskCount)) {
    return `a step must have 1 to ${TASKS_PER_STEP_MAXIMUM} tasks`;
  }
  if (!Number.isInteger(occurrences) || occurrences < 0 || occurrences > OCCURRENCES_MAXIMUM) {
    return `a job must not run more than ${OCCURRENCES_MAXIMUM} times`;
  }
  if (!Number.isFinite(firstDueWallMs) || !Number.isFinite(intervalMs) || intervalMs < 0) {
    return 'the times of a job must be numbers';
  }
  const tasks = steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
  return tasks * Math.max(1, occurrences) > TASKS_MAXIMUM
    ? `a job must have at most ${TASKS_MAXIMUM} tasks over all its runs`
    : null;
}

function hasValidTaskCount(step: StepSpecification | null): boolean {
  const taskCount = step?.taskCount ?? 0;
  return Number.isInteger(taskCount) && taskCount >= 1 && taskCount <= TASKS_PER_STEP_MAXIMUM;
}
