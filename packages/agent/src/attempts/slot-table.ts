/**
 * Slots and connections of the instances on this VM, counted over all entries. Only this agent hands them
 * out, so that the bounds hold whatever the entries believe.
 */
import { mayTakeSlot } from '@figjunction/decisions';
import type { Clock, Instant } from '@figjunction/time';
import type { AgentClassSlice, TaskId, UrgencyClassName } from '@figjunction/types';
import type { InstanceEntry } from '../instance-table.js';

/** A class keeps its guaranteed slots for this long after its last request. */
export const DEMAND_MS = 1_000;

interface ClassUse {
  used: number;
  lastDemand: Instant;
}

export class SlotTable {
  private readonly uses = new Map<TaskId, Map<UrgencyClassName, ClassUse>>();

  constructor(private readonly clock: Clock) {}

  /** Takes a slot and a connection; false when the instance or the class has none left. */
  take(instance: InstanceEntry, urgency: UrgencyClassName, classes: AgentClassSlice[]): boolean {
    const uses = this.usesOf(instance.taskId);
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
    const own = this.usesOf(instance.taskId).get(urgency);
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

  /** Forgets instances that are gone. */
  retain(taskIds: Set<TaskId>): void {
    for (const taskId of this.uses.keys()) {
      if (!taskIds.has(taskId)) {
        this.uses.delete(taskId);
      }
    }
  }

  private mayTake(
    instance: InstanceEntry,
    urgency: UrgencyClassName,
    classes: AgentClassSlice[],
  ): boolean {
    const now = this.clock.now();
    const uses = this.usesOf(instance.taskId);
    const shares = new Map(classes.map((one) => [one.urgency, one.guaranteedShare]));
    const rows = [...uses].map(([name, use]) => ({
      urgency: name,
      guaranteedShare: shares.get(name) ?? 0,
      used: use.used,
      hasDemand: now - use.lastDemand < DEMAND_MS,
    }));
    return mayTakeSlot(urgency, instance.slots, rows);
  }

  private usesOf(taskId: TaskId): Map<UrgencyClassName, ClassUse> {
    let uses = this.uses.get(taskId);
    if (uses === undefined) {
      uses = new Map();
      this.uses.set(taskId, uses);
    }
    return uses;
  }
}
