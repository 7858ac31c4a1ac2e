/**
 * Computes the free capacity of one VM and decides whether a task fits. Each reserved or running task is
 * accounted at the larger of its estimate and its latest measurement, so that a declared size that is too
 * small does not hide actual use.
 *
 * Measurements lag: a task of an unknown kind may be several times larger than declared before the first
 * one shows it. Such tasks are admitted only while all of them fit in the worst case. A single task that
 * does not fit in the worst case may start alone, throttled to the free processors.
 */
import type { Resources } from '@figjunction/types';
import {
  isWithinCapacity,
  maximumOfResources,
  scaleResources,
  subtractResources,
  sumResources,
} from './resource-arithmetic.js';

/** Factor by which a declared size may be too small; larger errors show in the first measurement. */
export const DECLARED_SIZE_ERROR_MAXIMUM = 5;

/** What is known about the size of one reserved or running task. */
export interface TaskLoad {
  declared: Resources;
  /** Learnt from measurements of the kind, else the declared size. */
  estimated: Resources;
  /** Latest measurement of this task, corrected for its throttle; null before the first. */
  measured: Resources | null;
  /** True if neither the kind nor the task has been measured. */
  isSizeUnknown: boolean;
  isBatch: boolean;
}

/** The larger of the estimate and the latest measurement. */
export function getAccountedSize({ estimated, measured }: TaskLoad): Resources {
  return measured === null ? estimated : maximumOfResources(estimated, measured);
}

/** The largest size that the task may turn out to have. */
export function getWorstCaseSize(load: TaskLoad): Resources {
  const accounted = getAccountedSize(load);
  if (!load.isSizeUnknown) {
    return accounted;
  }
  const { declared } = load;
  const worst = scaleResources(declared, DECLARED_SIZE_ERROR_MAXIMUM);
  // Accelerators are assigned as whole units: a task cannot use one that it was not assigned.
  return maximumOfResources(accounted, { ...worst, accelerators: declared.accelerators });
}

/** Capacity minus the accounted sizes; negative where the VM is over capacity. */
export function calculateFreeCapacity(capacity: Resources, loads: Iterable<TaskLoad>): Resources {
  return subtractResources(capacity, sumResources(Array.from(loads, getAccountedSize)));
}

/** Null if the candidate fits in addition to the loads, else the reason for the refusal. */
export function describeCapacityShortage(
  capacity: Resources,
  loads: readonly TaskLoad[],
  candidate: TaskLoad,
): string | null {
  const missing = describeMissingResources(
    getAccountedSize(candidate),
    calculateFreeCapacity(capacity, loads),
  );
  if (missing !== null) {
    return `insufficient free capacity: ${missing}`;
  }
  const isAnySizeUnknown = candidate.isSizeUnknown || loads.some((load) => load.isSizeUnknown);
  const freeInWorstCase = calculateWorstCaseFreeCapacity(capacity, loads);
  if (!isAnySizeUnknown || isWithinCapacity(getWorstCaseSize(candidate), freeInWorstCase)) {
    return null;
  }
  return canStartWithoutWorstCaseFit(loads, candidate, freeInWorstCase)
    ? null
    : 'insufficient free capacity until the tasks of unknown size are measured';
}

/** Free capacity if every task of unknown size has its worst-case size; negative where over capacity. */
export function calculateWorstCaseFreeCapacity(
  capacity: Resources,
  loads: readonly TaskLoad[],
): Resources {
  return subtractResources(capacity, sumResources(loads.map(getWorstCaseSize)));
}

/**
 * Whether the candidate may start although its worst case does not fit. Only one task of unknown size may do
 * so at a time. A throttle limits its processors but nothing limits its memory, so its worst-case memory
 * and accelerators must fit, unless there are no other batch tasks that could be affected.
 */
function canStartWithoutWorstCaseFit(
  loads: readonly TaskLoad[],
  candidate: TaskLoad,
  freeInWorstCase: Resources,
): boolean {
  if (!candidate.isSizeUnknown || loads.some((load) => load.isSizeUnknown)) {
    return false;
  }
  const worst = { ...getWorstCaseSize(candidate), processorMillicores: 0 };
  return (
    isWithinCapacity(worst, { ...freeInWorstCase, processorMillicores: 0 }) ||
    loads.every((load) => !load.isBatch)
  );
}

function describeMissingResources(size: Resources, free: Resources): string | null {
  const missing = (Object.keys(size) as (keyof Resources)[])
    .filter((name) => size[name] > free[name])
    .map((name) => `${name}: ${size[name]} requested, ${free[name]} free`);
  return missing.length === 0 ? null : missing.join(', ');
}
