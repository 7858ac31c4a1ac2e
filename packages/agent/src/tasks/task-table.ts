/**
 * Everything on this VM that takes room: reservations, running tasks, and ended tasks whose end is not
 * yet written. One row per task id, because the worker runs a task id at most once.
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
  /** Room is kept for a claim that is about to be written. */
  Reserved = 'reserved',
  /** The claim is being checked or the worker is being asked to start. */
  Starting = 'starting',
  Running = 'running',
  /** Found on the worker without a known claim; takes room, gets no lease. */
  Unadopted = 'unadopted',
  /** Not on the worker any more; its end is not yet acknowledged. */
  Ended = 'ended',
}

/** What was asked for a task that is to end here. */
export interface StopOrder {
  /** Save a checkpoint first and give the task back; otherwise drop it. */
  checkpoint: boolean;
  reason: string;
  /** Keep the task when no checkpoint can be saved, instead of trying again. */
  optional?: boolean;
  decision?: DecisionRecord | null;
}

/** A throttle and when the worker took it, to read lagging measurements with the right one. */
export interface ThrottleChange {
  /** When the first call that may have made the change was sent. */
  sentAt: Instant;
  /** When the worker confirmed it. */
  at: Instant;
  throttle: number;
}

export interface TaskEntry {
  taskId: TaskId;
  attempt: number;
  type: TaskType;
  kind: KindName;
  team: TeamName;
  /** Size that the entry reserved; before that, the one in the row. */
  declared: Resources;
  /** The entry has measured enough tasks of the kind to trust that size. */
  isSizeKnown: boolean;
  /** Key of the table row; null until it is known. */
  key: string | null;
  phase: TaskPhase;
  /** The incarnation that the row names, once the claim was read. */
  incarnation: AgentIncarnation;
  reservedUntil: Instant;
  checkpointKey: string | null;
  order: StopOrder | null;
  /** An exchange about this task is under way; nothing else may act on it. */
  isLocked: boolean;
  /** When the worker accepted the start, or when the task was adopted. */
  startedAt: Instant;
  /** Latest use, without the effect of the throttle. */
  measured: Resources | null;
  /** Earlier measurements are of an earlier attempt; an adopted task was running before. */
  measurableFrom: Instant;
  /** It ran before this incarnation, which bounded it then; its throttle stays until it is measured. */
  isAdopted: boolean;
  /** What the worker applies now. */
  throttle: number;
  throttleChanges: ThrottleChange[];
  /** When a call was sent whose change is not confirmed yet; the throttle is uncertain since then. */
  throttleSentAt: Instant | null;
  /** What the guards ask for; the overload control may ask for less. */
  guardThrottle: number;
  /** No new try of a failed exchange before this time. */
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
  order: null,
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

/** Measurements lag, so those of a short task arrive after its end. */
const ENDED_ENTRIES_MAXIMUM = 256;

export class TaskTable {
  private readonly entries = new Map<TaskId, TaskEntry>();

  /** The newest rows that were removed after they had run, oldest first. */
  private readonly endedEntries = new Map<TaskId, TaskEntry>();

  get(taskId: TaskId): TaskEntry | undefined {
    return this.entries.get(taskId);
  }

  /** The row that ran at a time in the past, also when it has been removed since. */
  findRunningAt(taskId: TaskId, at: Instant): TaskEntry | undefined {
    const candidates = [this.entries.get(taskId), this.endedEntries.get(taskId)];
    return candidates.find(
      (entry) => entry !== undefined && hasRun(entry) && entry.measurableFrom <= at,
    );
  }

  /** The row of exactly this attempt. */
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
    const row: TaskEntry = { ...ENTRY_DEFAULTS, throttleChanges: [], ...entry };
    this.entries.set(row.taskId, row);
    return row;
  }

  /** Removes exactly this row; a later row with the same task id stays. */
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
