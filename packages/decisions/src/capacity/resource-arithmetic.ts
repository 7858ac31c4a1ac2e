/**
 * Component-wise arithmetic on resources.
 */
import type { Resources } from '@figjunction/types';

export const NO_RESOURCES: Readonly<Resources> = {
  processorMillicores: 0,
  memoryMegabytes: 0,
  accelerators: 0,
};

export function addResources(left: Resources, right: Resources): Resources {
  return combine(left, right, (a, b) => a + b);
}

export function subtractResources(left: Resources, right: Resources): Resources {
  return combine(left, right, (a, b) => a - b);
}

export function maximumOfResources(left: Resources, right: Resources): Resources {
  return combine(left, right, Math.max);
}

export function minimumOfResources(left: Resources, right: Resources): Resources {
  return combine(left, right, Math.min);
}

/** Rounds up, so that a scaled size is never smaller than the exact product. */
export function scaleResources(size: Resources, factor: number): Resources {
  return {
    processorMillicores: Math.ceil(size.processorMillicores * factor),
    memoryMegabytes: Math.ceil(size.memoryMegabytes * factor),
    accelerators: Math.ceil(size.accelerators * factor),
  };
}

export function sumResources(sizes: Iterable<Resources>): Resources {
  let sum: Resources = { ...NO_RESOURCES };
  for (const size of sizes) {
    sum = addResources(sum, size);
  }
  return sum;
}

/** Whether every component of the size is at most that of the capacity. */
export function isWithinCapacity(size: Resources, capacity: Resources): boolean {
  return (
    size.processorMillicores <= capacity.processorMillicores &&
    size.memoryMegabytes <= capacity.memoryMegabytes &&
    size.accelerators <= capacity.accelerators
  );
}

function combine(
  left: Resources,
  right: Resources,
  operation: (a: number, b: number) => number,
): Resources {
  return {
    processorMillicores: operation(left.processorMillicores, right.processorMillicores),
    memoryMegabytes: operation(left.memoryMegabytes, right.memoryMegabytes),
    accelerators: operation(left.accelerators, right.accelerators),
  };
}
