/**
 * Room on one VM. Everything that is reserved or running counts by the largest of what was declared,
 * what was learnt of its kind and what was measured, so that a size declared too small cannot hide use.
 */
import type { Resources } from '@figjunction/types';
import {
  fitsWithin,
  largerResources,
  subtractResources,
  sumResources,
} from './resource-arithmetic.js';

/** What is known of the size of one reserved or running task. */
export interface RoomLoad {
  declared: Resources;
  /** Estimate for the kind; null when learning is off. */
  learnt: Resources | null;
  /** Latest measurement of this task; null before the first. */
  measured: Resources | null;
}

export function countedSize(load: RoomLoad): Resources {
  const { declared, learnt, measured } = load;
  const atLeastLearnt = learnt === null ? declared : largerResources(declared, learnt);
  return measured === null ? atLeastLearnt : largerResources(atLeastLearnt, measured);
}

/** What is left of the capacity; negative where the VM holds more than it can carry. */
export function freeRoom(capacity: Resources, loads: Iterable<RoomLoad>): Resources {
  return subtractResources(capacity, sumResources(Array.from(loads, countedSize)));
}

/** Null when the candidate fits, else what is missing, for the refusal. */
export function refusalForRoom(
  capacity: Resources,
  loads: Iterable<RoomLoad>,
  candidate: RoomLoad,
): string | null {
  const free = freeRoom(capacity, loads);
  const size = countedSize(candidate);
  if (fitsWithin(size, free)) {
    return null;
  }
  const missing = (Object.keys(size) as (keyof Resources)[])
    .filter((name) => size[name] > free[name])
    .map((name) => `${name} ${size[name]} of ${free[name]} free`);
  return `no room: ${missing.join(', ')}`;
}
