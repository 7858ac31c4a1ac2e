/**
 * Slots and connections of the instances on this VM, counted over all entries. Only this agent hands them
 * out, so that the bounds hold whatever the entries believe.
 */
import { mayTakeSlot } from '@figjunction/decisions';
import type { Clock, Instant } from '@figjunction/time';
import type { AgentClassSlice, UrgencyClassName } from '@figjunction/types';
import type { InstanceEntry } from '../instance-table.js';

/** A class keeps its guaranteed slots for this long after its last request. */
export const DEMAND_MS = 1_000;

interface ClassUse {
  used: number;
  lastDemand: Instant;
}

export class SlotTable {
  /** By row, not by task: a restarted instance has another row and starts with free slots. */
  private readonly uses = new WeakMap<InstanceEntry, Map<UrgencyClassName, ClassUse>>();

  constructor(private readonly clock: Clock) {}

  /** Takes a slot and a connection; false when the instance or the class has none left. */
  take(instance: InstanceEntry, urgency: UrgencyClassName, classes: AgentClassSlice[]): boolean {
    const uses = this.usesOf(instance);
    const own = uses.get(urgency) ?? { used: 0, lastDemand: 0 };
    own.lastDemand = this.clock.now();
    uses.set(urgency, own);
    const hasConnection = instance.connectionsUsed < instance.connections;
    if (!hasConnection || !this.mayTake(instance, urgency, classes)) {
      return false;
    }
    own.used += 1;
    instance.slotsUsed += 1;
    instance.connectionsUsed += 1;
    return true;
  }

  give(instance: InstanceEntry, urgency: UrgencyClassName): void {
    const own = this.usesOf(instance).get(urgency);
    if (own !== undefined) {
      own.used -= 1;
    }
    instance.slotsUsed -= 1;
    instance.connectionsUsed -= 1;
  }

  /** Takes a connection for a watch. As many as there are slots stay free for requests. */
  takeWatch(instance: InstanceEntry): boolean {
    const watches = instance.connectionsUsed - instance.slotsUsed;
    if (watches >= instance.connections - instance.slots) {
      return false;
    }
    instance.connectionsUsed += 1;
    return true;
  }

  giveWatch(instance: InstanceEntry): void {
    instance.connectionsUsed -= 1;
  }

  private mayTake(
    instance: InstanceEntry,
    urgency: UrgencyClassName,
    classes: AgentClassSlice[],
  ): boolean {
    const now = this.clock.now();
    const uses = this.usesOf(instance);
    const shares = new Map(classes.map((one) => [one.urgency, one.guaranteedShare]));
    const rows = [...uses].map(([name, use]) => ({
      urgency: name,
      guaranteedShare: shares.get(name) ?? 0,
      used: use.used,
      hasDemand: now - use.lastDemand < DEMAND_MS,
    }));
    return mayTakeSlot(urgency, instance.slots, rows);
  }

  private usesOf(instance: InstanceEntry): Map<UrgencyClassName, ClassUse> {
    let uses = this.uses.get(instance);
    if (uses === undefined) {
      uses = new Map();
      this.uses.set(instance, uses);
    }
    return uses;
  }
}
