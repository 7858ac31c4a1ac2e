/**
 * The entities of a cell: jobs with their occurrences, steps and tasks; VMs, in a module of their own; and runs, each of
 * which assigns a task to a VM. These types hold data only; the systems in the other modules read and change them.
 */
import type { Instant } from '@figjunction/time';
import type {
  AgentId,
  JobId,
  JobSpecification,
  JobState,
  QueuePolicy,
  StepSpecification,
  TaskId,
  VmAnnouncement,
} from '@figjunction/types';
import type { VmRecord } from './vm-records.js';

export type { OrphanRun, UnsettledEnd, VmHealth, VmRecord, VmSuspicion } from './vm-records.js';

export enum RunPhase {
  /** The start order was issued; the runner has not confirmed or refused it yet. */
  Ordered = 'ordered',
  Running = 'running',
  /** The stop order was issued; the run holds its resources until the runner reports its end. */
  Stopping = 'stopping',
}

/** One execution of a task on a VM. */
export interface RunRecord {
  task: TaskRecord;
  /** The number of the run; it identifies the run together with the task id. */
  run: number;
  vm: VmRecord;
  phase: RunPhase;
  /** False only while the start order cannot have left this process. */
  isSent: boolean;
  /** True if it was started alone on its VM, to show whether it crashes it. */
  isOnTrial: boolean;
  /** Number of the last sending of its start order; 0 if this scheduler has not sent one, as for an adopted run. */
  attempt: number;
  /** When its start or stop order is sent next, unless a response arrives first. */
  sendAt: Instant;
  /** The adviser's ticket that is sent with the start order. */
  ticket: string | null;
  /** The checkpoint that it starts from, the same for all members of a gang; empty if there is none. */
  startCheckpoint: string;
  /** The checkpoint that it last listed; empty if there is none. */
  listedCheckpoint: string;
  /** Progress as last reported, 0 to 100. */
  percent: number;
  /** Up to when its step has learnt from it; null until its progress is known, as for one with a checkpoint. */
  observedAt: Instant | null;
  /** When the progress last changed. Time without lists of the VM does not count as time without progress. */
  percentChangedAt: Instant;
  /** Last measurement: tail latency in milliseconds for a serving task, else processor use in millicores. */
  measurement: number;
  /** When it was placed on the VM or, for an adopted run, first listed. */
  placedAt: Instant;
  /** When the runner confirmed the start. */
  runningSince: Instant;
}

export interface TaskRecord {
  id: TaskId;
  index: number;
  step: StepRecord;
  done: boolean;
  /** Numbers of the failed runs, so that an end reported again to a new scheduler is counted once. */
  failedRuns: number[];
  /** Numbers of the runs under which a VM crashed, so that a crash that is reported again is counted once. */
  crashes: number[];
  /** The last reported checkpoint; empty if there is none. */
  checkpoint: string;
  /** True once it has had a run, also of an earlier scheduler. */
  hasRun: boolean;
  /** The highest run number assigned so far. */
  highestRunNumber: number;
  runs: RunRecord[];
  /** Number of its starts in a row that VMs have refused. */
  refusals: number;
  /** The task is not started before this time. */
  eligibleAt: Instant;
  /** When the task began to wait for a VM. */
  waitingSince: Instant;
  /** When the task was last relocated because it ran slowly. */
  relocatedAt: Instant;
  /** VMs on which a run of the task failed or stalled. */
  failedVms: Set<AgentId>;
}

/** What the adviser has last answered about a step and one incarnation of a VM. */
export interface AdviceAnswer {
  /** Null if the adviser has refused. */
  ticket: string | null;
  expiresAt: Instant;
}

/** What the adviser has answered about a step, which is used only for queues with advice. */
export interface StepAdvice {
  /** By the instance keys of VMs. */
  answers: Map<string, AdviceAnswer>;
  /** Number of calls about the step. */
  calls: number;
  /** When the last call about the step began; null before the first one. */
  calledAt: Instant | null;
}

export interface StepRecord {
  index: number;
  occurrence: OccurrenceRecord;
  specification: StepSpecification;
  tasks: TaskRecord[];
  doneCount: number;
  /** Tasks that are not done and have no run. */
  waiting: Set<TaskRecord>;
  /** True once all steps that it depends on are done and the occurrence is due. */
  ready: boolean;
  /** Estimated time of one task, from the estimate that came with the job and from what was observed. */
  taskMs: number;
  /** What was seen of its runs: the tasks done, with fractions, and the run time that they took. */
  observed: { tasks: number; durationMs: number };
  /** Estimated time from the start of this step to the end of the job, along the critical path. */
  criticalPathMs: number;
  advice: StepAdvice;
  /** When a placement last searched for VMs for it. */
  searchedAt: Instant;
}

export interface OccurrenceRecord {
  job: JobRecord;
  index: number;
  dueAt: Instant;
  steps: StepRecord[];
  state: JobState;
  /** The state in the stored row; null if none is stored yet. */
  storedState: JobState | null;
  /** VMs that the stored row lists as runners of this occurrence. Start orders are sent to these VMs only. */
  storedVms: Set<AgentId>;
  /** True if the stored row can't be read, so that no scheduler starts any of its tasks. */
  isHeld: boolean;
  /** Number of its last change; each change has the next one. */
  lastChange: number;
  /**
   * Each later scheduler respects the changes up to this number: the stored row contains them, or keeps the tasks from
   * starting.
   */
  storedChange: number;
  /** True once a VM has begun a task of it, as far as is known: it has confirmed or listed a run, or told its end. */
  hasBegun: boolean;
  /** Number of its runs in the tables. */
  runCount: number;
  /** Estimated core-milliseconds of all tasks. */
  work: number;
}

export interface JobRecord {
  id: JobId;
  /** The configuration of the queue when the job was accepted. */
  policy: QueuePolicy;
  specification: JobSpecification;
  submittedAt: Instant;
  occurrences: Map<number, OccurrenceRecord>;
  cancelled: boolean;
  /** When the last occurrence ended; null while the job is unfinished. */
  finishedAt: Instant | null;
}

/** The key of a run in the tables of a VM. */
export function buildRunKey(taskId: TaskId, run: number): string {
  return `${taskId}#${run}`;
}

/** Identifies one incarnation of a VM: an instance id can be reused after a restart. */
export function buildInstanceKey(announcement: VmAnnouncement): string {
  return `${announcement.instanceId}@${announcement.bornWallMs}`;
}
