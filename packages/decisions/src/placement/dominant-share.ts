/**
 * Dominant share of a VM's resources, as in dominant resource fairness.
 */
import type { Resources } from '@figjunction/types';

/** The largest utilisation (0 to 1) among the resources of a VM; 0 for a VM without capacity. */
export function computeDominantShare(used: Resources, capacity: Resources): number {
  const shares = [
    computeShare(used.processorMillicores, capacity.processorMillicores),
    computeShare(used.memoryMegabytes, capacity.memoryMegabytes),
    computeShare(used.accelerators, capacity.accelerators),
  ];
  return Math.max(...shares);
}

function computeShare(used: number, capacity: number): number {
  return capacity > 0 ? used / capacity : 0;
}
