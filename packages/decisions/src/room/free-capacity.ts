/**
 * Room on one VM. Everything that is reserved or running counts by the larger of its estimate and its
 * latest measurement, so that a size declared too small cannot hide use.
 *
 * Until a kind is known, a task may turn out several times larger than declared before the first, lagging
 * measurement shows it. Such tasks are admitted only as long as all of them fit in the worst case; a single
 * one that does not fit in the worst case may start alone, throttled to the processors that are free.
 */
import type { Resources } from '@figjunction/types';
import {
  isWithinRoom,
  maximumOfResources,
  scaleResources,
  subtractResources,
  sumResources,
} from './resource-arithmetic.js';

/** Declared sizes are trusted up to this factor; larger errors show in the first measurement. */
export const DECLARED_SIZE_ERROR_MAXIMUM = 5;

/** What is known of the size of one reserved or running task. */
export interface RoomLoad {
  declared: Resources;
  /** From what was learnt of the kind, or from the declared size. */
  estimated: Resources;
  /** Latest measurement of this task without the effect of a throttle; null before the first. */
  measured: Resources | null;
  /** Neither the kind nor the task has been measured. */
  isUnsure: boolean;
  isBatch: boolean;
}

export function countedSize({ estimated, measured }: RoomLoad): Resources {
  return measured === null ? estimated : maximumOfResources(estimated, measured);
}

/** The size that a task may turn out to have. */
export function worstCaseSize(load: RoomLoad): Resources {
  const counted = countedSize(load);
  if (!load.isUnsure) {
    return counted;
  }
  const { declared } = load;
  const worst = scaleResources(declared, DECLARED_SIZE_ERROR_MAXIMUM);
  // Accelerators are handed out whole: a task cannot use one that it was not given.
  return maximumOfResources(counted, { ...worst, accelerators: declared.accelerators });
}

/** What is left of the capacity; negative where the VM holds more than it can carry. */
export function freeRoom(capacity: Resources, loads: Iterable<RoomLoad>): Resources {
  return subtractResources(capacity, sumResources(Array.from(loads, countedSize)));
}

/** Null when the candidate fits beside the loads, else what is missing, for the refusal. */
export function refusalForRoom(
  capacity: Resources,
  loads: readonly RoomLoad[],
  candidate: RoomLoad,
): string | null {
  const missing = describeMissing(countedSize(candidate), freeRoom(capacity, loads));
  if (missing !== null) {
    return `no room: ${missing}`;
  }
  const isAnyUnsure = candidate.isUnsure || loads.some((load) => load.isUnsure);
  const freeInWorstCase = freeForWorstCase(capacity, loads);
  if (!isAnyUnsure || isWithinRoom(worstCaseSize(candidate), freeInWorstCase)) {
    return null;
  }
  return mayProbe(loads, candidate, freeInWorstCase)
    ? null
    : 'no room until tasks of unknown size are measured';
}

/** Room that is left when every task of unknown size turns out as large as it may. */
export function freeForWorstCase(capacity: Resources, loads: readonly RoomLoad[]): Resources {
  return subtractResources(capacity, sumResources(loads.map(worstCaseSize)));
}

/**
 * One task of unknown size at a time may start without room for its worst case: a throttle bounds its
 * processors. Nothing bounds its memory, so that must fit, unless no other batch work would suffer.
 */
function mayProbe(
  loads: readonly RoomLoad[],
  candidate: RoomLoad,
  freeInWorstCase: Resources,
): boolean {
  if (!candidate.isUnsure || loads.some((load) => load.isUnsure)) {
    return false;
  }
  const worst = { ...worstCaseSize(candidate), processorMillicores: 0 };
  return (
    isWithinRoom(worst, { ...freeInWorstCase, processorMillicores: 0 }) ||
    loads.every((load) => !load.isBatch)
  );
}

function describeMissing(size: Resources, free: Resources): string | null {
  const missing = (Object.keys(size) as (keyof Resources)[])
    .filter((name) => size[name] > free[name])
    .map((name) => `${name} ${size[name]} of ${free[name]} free`);
  return missing.length === 0 ? null : missing.join(', ');
}
