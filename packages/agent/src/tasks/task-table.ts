/**
 * The agent's in-memory table of tasks on this VM: reservations, running tasks, and ended tasks whose end is
 * not yet acknowledged. It has one entry per task id, because the worker runs a task id at most once. The
 * stored state of a task is its row (TaskRow); the process named entry has a task table of its own.
 */
import type { Instant } from '@figjunction/time';
import type {
  AgentIncarnation,
  DecisionRecord,
  KindName,
  Resources,
  TaskId,
  TaskType,
  TeamName,
} from '@figjunction/types';

export enum TaskPhase {
  /** Capacity is reserved; the claim has not been written, or its start order has not arrived. */
  Reserved = 'reserved',
  /** The claim is being checked, or the call that starts the task is in progress. */
  Starting = 'starting',
  Running = 'running',
  /** Found on the worker without a known claim. Occupies capacity; its worker lease is not extended. */
  Unadopted = 'unadopted',
  /** Completed, failed or stopped on the worker; the end is not yet acknowledged. */
  Ended = 'ended',
}

/** How to stop a task on this VM, and why. */
export interface StopOrder {
  /** Save a checkpoint and report the task as evicted; otherwise stop it without a report. */
  checkpoint: boolean;
  reason: string;
  /** If the checkpoint fails, cancel the order and keep the task instead of retrying. */
  isBestEffort?: boolean;
  decision?: DecisionRecord | null;
}

/** A change of the throttle and its time, to match lagging measurements with the throttle in effect. */
export interface ThrottleChange {
  /** When the first call that may have made the change was sent. */
  sentAt: Instant;
  /** When the worker confirmed the change. */
  at: Instant;
  throttle: number;
}

/** One task on this VM, an entry of TaskTable. */
export interface TaskEntry {
  taskId: TaskId;
  attempt: number;
  type: TaskType;
  kind: KindName;
  team: TeamName;
  /** Size in the reservation, or in the row if there was no reservation. */
  declared: Resources;
  /** The reserving entry has enough measurements of the kind to trust that size. */
  isSizeKnown: boolean;
  /** Key of the stored row; null until it is known. */
  key: string | null;
  phase: TaskPhase;
  /** The incarnation of the holder in the row; 0 until the row has been read. */
  incarnation: AgentIncarnation;
  reservedUntil: Instant;
  checkpointKey: string | null;
  stopOrder: StopOrder | null;
  /** An operation on this task is in progress; no other operation may start. */
  isLocked: boolean;
  /** When the worker accepted the start, or when this incarnation adopted the task. */
  startedAt: Instant;
  /** Latest measured use, scaled up to remove the effect of the throttle. */
  measured: Resources | null;
  /** Earlier measurements belong to an earlier attempt. Unbounded for an adopted task. */
  measurableFrom: Instant;
  /**
   * The task was started by an earlier incarnation, which throttled it if its size was unknown. The task
   * keeps that throttle until it is measured.
   */
  isAdopted: boolean;
  /** The throttle that the worker last confirmed; 1 is unthrottled. */
  throttle: number;
  throttleChanges: ThrottleChange[];
  /** When the first call of an unconfirmed change was sent; the throttle is unknown from then on. */
  throttleSentAt: Instant | null;
  /** The throttle that the guards request; the one that prevents overload may be lower. */
  guardThrottle: number;
  /** A failed stop or checkpoint is not retried before this time. */
  retryAt: Instant;
  progress: number;
  evictions: number;
}

export type NewTaskEntry = Pick<
  TaskEntry,
  'taskId' | 'attempt' | 'type' | 'kind' | 'declared' | 'phase'
> &
  Partial<TaskEntry>;

const ENTRY_DEFAULTS = {
  team: '',
  isSizeKnown: false,
  key: null,
  incarnation: 0,
  reservedUntil: Number.POSITIVE_INFINITY,
  checkpointKey: null,
  stopOrder: null,
  isLocked: false,
  startedAt: Number.NEGATIVE_INFINITY,
  measured: null,
  measurableFrom: Number.NEGATIVE_INFINITY,
  isAdopted: false,
  throttle: 1,
  throttleSentAt: null,
  guardThrottle: 1,
  retryAt: Number.NEGATIVE_INFINITY,
  progress: 0,
  evictions: 0,
};

/** Removed entries are kept because measurements lag: those of a short task arrive after its end. */
const ENDED_ENTRIES_MAXIMUM = 256;

export class TaskTable {
  private readonly entries = new Map<TaskId, TaskEntry>();

  /** The latest entries that were removed after they had run, oldest first. */
  private readonly endedEntries = new Map<TaskId, TaskEntry>();

  get(taskId: TaskId): TaskEntry | undefined {
    return this.entries.get(taskId);
  }

  /** Returns the entry that ran at the given time, even if it has been removed since. */
  findRunningAt(taskId: TaskId, at: Instant): TaskEntry | undefined {
    const candidates = [this.entries.get(taskId), this.endedEntries.get(taskId)];
    return candidates.find(
      (entry) => entry !== undefined && hasRun(entry) && entry.measurableFrom <= at,
    );
  }

  /** Returns the entry of the task only if it is of this attempt. */
  findAttempt(taskId: TaskId, attempt: number): TaskEntry | undefined {
    const entry = this.entries.get(taskId);
    return entry?.attempt === attempt ? entry : undefined;
  }

  all(): TaskEntry[] {
    return [...this.entries.values()];
  }

  inPhase(...phases: TaskPhase[]): TaskEntry[] {
    return this.all().filter((entry) => phases.includes(entry.phase));
  }

  add(entry: NewTaskEntry): TaskEntry {
    const added: TaskEntry = { ...ENTRY_DEFAULTS, throttleChanges: [], ...entry };
    this.entries.set(added.taskId, added);
    return added;
  }

  /** Removes this entry only; a later entry with the same task id stays. */
  remove(entry: TaskEntry): void {
    if (this.entries.get(entry.taskId) === entry) {
      this.entries.delete(entry.taskId);
      this.keepEnded(entry);
    }
  }

  private keepEnded(entry: TaskEntry): void {
    if (!hasRun(entry)) {
      return;
    }
    this.endedEntries.delete(entry.taskId);
    this.endedEntries.set(entry.taskId, entry);
    if (this.endedEntries.size > ENDED_ENTRIES_MAXIMUM) {
      const [oldest] = this.endedEntries.keys();
      this.endedEntries.delete(oldest ?? '');
    }
  }
}

function hasRun(entry: TaskEntry): boolean {
  return entry.phase === TaskPhase.Running || entry.phase === TaskPhase.Ended;
}
