/**
 * Shares the slots of one instance among urgency classes. A class below its guarantee may take any free
 * slot. Above it, a class must leave enough free slots for the guarantees of other classes with demand.
 */
import type { UrgencyClassName } from '@figjunction/types';

/** The use of the slots by one class. */
export interface ClassSlots {
  urgency: UrgencyClassName;
  /** Guaranteed fraction of the slots, 0 to 1. */
  guaranteedShare: number;
  /** Number of slots in use. */
  used: number;
  /** Whether a request of the class arrived recently. */
  hasDemand: boolean;
}

/** Whether a request of the class may take one of the slots. */
export function canTakeSlot(
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
  const reserved = classes
    .filter((one) => one.urgency !== urgency && one.hasDemand)
    .reduce((sum, one) => sum + countUnusedGuaranteedSlots(one, slots), 0);
  return free > reserved;
}

/** Rounds a fractional guarantee up; otherwise a class with a small share would never get a slot. */
function countUnusedGuaranteedSlots(one: ClassSlots, slots: number): number {
  return Math.max(0, Math.ceil(one.guaranteedShare * slots) - one.used);
}
