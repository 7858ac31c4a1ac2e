/**
 * Slots of one instance, shared by urgency classes. A class below its guaranteed slots may take any free
 * one; above them it must leave enough free slots for the guarantees of the classes that have demand.
 */
import type { UrgencyClassName } from '@figjunction/types';

export interface ClassSlots {
  urgency: UrgencyClassName;
  /** Guaranteed fraction of the slots, 0 to 1. */
  guaranteedShare: number;
  used: number;
  /** Whether a request of the class arrived lately. */
  hasDemand: boolean;
}

/** Whether a request of the class may take one of the slots. */
export function mayTakeSlot(
  urgency: UrgencyClassName,
  slots: number,
  classes: ClassSlots[],
): boolean {
  const used = classes.reduce((sum, one) => sum + one.used, 0);
  const free = slots - used;
  if (free <= 0) {
    return false;
  }
  const own = classes.find((one) => one.urgency === urgency);
  if (own !== undefined && own.used < own.guaranteedShare * slots) {
    return true;
  }
  const kept = classes
    .filter((one) => one.urgency !== urgency && one.hasDemand)
    .reduce((sum, one) => sum + unusedGuarantee(one, slots), 0);
  return free > kept;
}

/** A guarantee of part of a slot counts as a whole one, else a small class would never get it. */
function unusedGuarantee(one: ClassSlots, slots: number): number {
  return Math.max(0, Math.ceil(one.guaranteedShare * slots) - one.used);
}
