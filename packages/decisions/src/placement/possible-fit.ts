/**
 * Whether a task can fit on any VM of the fleet, were that VM empty. A task that cannot is held.
 */
import type { Resources } from '@figjunction/types';
import type { AllowedVmNames, PlacementVm } from './placement-types.js';
import { isWithinRoom } from '../room/resource-arithmetic.js';
import { isAllowed } from './vm-choice.js';

export enum PossibleFit {
  Possible = 'possible',
  /** Every allowed VM that is known is too small. */
  TooLarge = 'too-large',
  /** No allowed VM is known; one may come back at any time. */
  NoVm = 'no-vm',
}

export function possibleFit(
  size: Resources,
  allowed: AllowedVmNames,
  vms: PlacementVm[],
): PossibleFit {
  const candidates = vms.filter((vm) => isAllowed(allowed, vm));
  if (candidates.length === 0) {
    return PossibleFit.NoVm;
  }
  return candidates.some((vm) => isWithinRoom(size, vm.capacity))
    ? PossibleFit.Possible
    : PossibleFit.TooLarge;
}
