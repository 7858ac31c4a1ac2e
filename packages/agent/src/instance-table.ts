/**
 * The service instances on this VM. The task module adds and removes rows; the attempt module counts the used
 * slots and connections.
 */
import type { ServiceName, TaskId } from '@figjunction/types';

export interface InstanceEntry {
  taskId: TaskId;
  service: ServiceName;
  /** Number of the start of the instance's task, not an attempt of a request. */
  attempt: number;
  /** Null until the target accepts connections. */
  targetAddress: string | null;
  slots: number;
  slotsUsed: number;
  connections: number;
  connectionsUsed: number;
  /** Accepts no new requests or watches; open ones finish. */
  draining: boolean;
}

export class InstanceTable {
  private readonly rows = new Map<TaskId, InstanceEntry>();

  get(taskId: TaskId): InstanceEntry | undefined {
    return this.rows.get(taskId);
  }

  all(): InstanceEntry[] {
    return [...this.rows.values()];
  }

  set(entry: InstanceEntry): void {
    this.rows.set(entry.taskId, entry);
  }

  remove(taskId: TaskId): void {
    this.rows.delete(taskId);
  }
}
