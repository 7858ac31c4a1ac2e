/**
 * Arithmetic on resources. Amounts are whole numbers, so sums are exact.
 */
import type { Resources } from '@figjunction/types';

export const ZERO_RESOURCES: Readonly<Resources> = {
  processorMillicores: 0,
  memoryMegabytes: 0,
  accelerators: 0,
};

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

export function sumOfResources(left: Resources, right: Resources): Resources {
  return combine(left, right, (a, b) => a + b);
}

export function differenceOfResources(left: Resources, right: Resources): Resources {
  return combine(left, right, (a, b) => a - b);
}

/** The larger amount of each resource. */
export function largerResources(left: Resources, right: Resources): Resources {
  return combine(left, right, Math.max);
}

export function fitsWithin(size: Resources, room: Resources): boolean {
  return (
    size.processorMillicores <= room.processorMillicores &&
    size.memoryMegabytes <= room.memoryMegabytes &&
    size.accelerators <= room.accelerators
  );
}

/** The largest used fraction among the resources of a VM, 0 for a VM without capacity. */
export function dominantShare(used: Resources, capacity: Resources): number {
  const shares = [
    shareOf(used.processorMillicores, capacity.processorMillicores),
    shareOf(used.memoryMegabytes, capacity.memoryMegabytes),
    shareOf(used.accelerators, capacity.accelerators),
  ];
  return Math.max(...shares);
}

function shareOf(used: number, capacity: number): number {
  return capacity > 0 ? used / capacity : 0;
}
