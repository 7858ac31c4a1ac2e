/**
 * Slots and connections of the instances on this VM, counted over all entries. Only this agent assigns them,
 * so the limits hold even if the counts of the entries are out of date.
 */
import { canTakeSlot } from '@figjunction/decisions';
import type { Clock, Instant } from '@figjunction/time';
import type { AgentClassSlice, UrgencyClassName } from '@figjunction/types';
import type { InstanceEntry } from '../instance-table.js';

/** How long after its last request an urgency class keeps its guaranteed slots. */
export const DEMAND_WINDOW_MS = 1_000;

interface ClassUsage {
  used: number;
  lastRequestAt: Instant;
}

export class SlotTable {
  /** Keyed by row, not by task: a restarted instance has a new row and starts with all slots free. */
  private readonly usagesByInstance = new WeakMap<
    InstanceEntry,
    Map<UrgencyClassName, ClassUsage>
  >();

  constructor(private readonly clock: Clock) {}

  /** Acquires a slot and a connection; false when the instance or the class has none left. */
  acquire(instance: InstanceEntry, urgency: UrgencyClassName, classes: AgentClassSlice[]): boolean {
    const uses = this.getClassUsages(instance);
    const classUsage = uses.get(urgency) ?? { used: 0, lastRequestAt: 0 };
    classUsage.lastRequestAt = this.clock.now();
    uses.set(urgency, classUsage);
    const hasConnection = instance.connectionsUsed < instance.connections;
    if (!hasConnection || !this.isSlotAvailable(instance, urgency, classes)) {
      return false;
    }
    classUsage.used += 1;
    instance.slotsUsed += 1;
    instance.connectionsUsed += 1;
    return true;
  }

  /** Releases the slot and the connection of a request. */
  release(instance: InstanceEntry, urgency: UrgencyClassName): void {
    const classUsage = this.getClassUsages(instance).get(urgency);
    if (classUsage !== undefined) {
      classUsage.used -= 1;
    }
    instance.slotsUsed -= 1;
    instance.connectionsUsed -= 1;
  }

  /** Acquires a connection for a watch; false when only one per slot is left, kept for requests. */
  acquireWatchConnection(instance: InstanceEntry): boolean {
    const watches = instance.connectionsUsed - instance.slotsUsed;
    if (watches >= instance.connections - instance.slots) {
      return false;
    }
    instance.connectionsUsed += 1;
    return true;
  }

  releaseWatchConnection(instance: InstanceEntry): void {
    instance.connectionsUsed -= 1;
  }

  private isSlotAvailable(
    instance: InstanceEntry,
    urgency: UrgencyClassName,
    classes: AgentClassSlice[],
  ): boolean {
    const now = this.clock.now();
    const uses = this.getClassUsages(instance);
    const shares = new Map(classes.map((one) => [one.urgency, one.guaranteedShare]));
    const rows = [...uses].map(([name, use]) => ({
      urgency: name,
      guaranteedShare: shares.get(name) ?? 0,
      used: use.used,
      hasDemand: now - use.lastRequestAt < DEMAND_WINDOW_MS,
    }));
    return canTakeSlot(urgency, instance.slots, rows);
  }

  private getClassUsages(instance: InstanceEntry): Map<UrgencyClassName, ClassUsage> {
    let uses = this.usagesByInstance.get(instance);
    if (uses === undefined) {
      uses = new Map();
      this.usagesByInstance.set(instance, uses);
    }
    return uses;
  }
}
