/**
 * Checks whether a task would fit on any VM of the fleet if that VM were empty.
 */
import type { Resources } from '@figjunction/types';
import type { VmConstraints, PlacementVm } from './placement-types.js';
import { isWithinCapacity } from '../capacity/resource-arithmetic.js';
import { satisfiesConstraints } from './vm-choice.js';

export enum PossibleFit {
  Possible = 'possible',
  /** Every known VM that is allowed is too small. */
  TooLarge = 'too-large',
  /** None of the known VMs is allowed. An allowed one may rejoin at any time, so the task may still fit. */
  NoVm = 'no-vm',
}

/** Compares the size with the total capacity of the allowed VMs, whatever is in use. */
export function possibleFit(
  size: Resources,
  allowed: VmConstraints,
  vms: PlacementVm[],
): PossibleFit {
  const candidates = vms.filter((vm) => satisfiesConstraints(allowed, vm));
  if (candidates.length === 0) {
    return PossibleFit.NoVm;
  }
  return candidates.some((vm) => isWithinCapacity(size, vm.capacity))
    ? PossibleFit.Possible
    : PossibleFit.TooLarge;
}
