/**
 * The entities of a cell: jobs with their occurrences, steps and tasks; VMs; and the runs that join a task
 * to a VM. Systems in the other modules change them; nothing here decides.
 */
import type { Instant } from '@figjunction/time';
import type {
  AgentId,
  JobId,
  JobSpecification,
  JobState,
  QueuePolicy,
  Resources,
  StepSpecification,
  TaskId,
  VmAnnouncement,
} from '@figjunction/types';

export enum RunPhase {
  /** The order to start has been given, its answer is not known. */
  Ordered = 'ordered',
  Running = 'running',
  /** The order to stop has been given; the run counts until its end is listed. */
  Stopping = 'stopping',
}

export interface RunRecord {
  task: TaskRecord;
  run: number;
  vm: VmRecord;
  phase: RunPhase;
  /** False while the order to start has surely not left this process. */
  isSent: boolean;
  /** The next time at which its order goes out again, unless an answer arrives. */
  sendAt: Instant;
  ticket: string | null;
  /** Progress as last reported, 0 to 100. */
  percent: number;
  percentChangedAt: Instant;
  /** Processor use in millicores, or tail latency in milliseconds for a task that serves. */
  reading: number;
  /** When its start was confirmed. */
  runningSince: Instant;
}

export interface TaskRecord {
  id: TaskId;
  index: number;
  step: StepRecord;
  done: boolean;
  /** Numbers of the runs that failed. An end may be reported again to the next scheduler. */
  failedRuns: number[];
  checkpoint: string;
  /** The highest run number given so far. */
  lastRun: number;
  runs: RunRecord[];
  /** No start before this time. */
  eligibleAt: Instant;
  /** Since when it waits for a VM. */
  waitingSince: Instant;
  /** When it was last moved to run faster. */
  movedAt: Instant;
  /** VMs on which it failed. */
  failedOn: Set<AgentId>;
}

export interface Ticket {
  value: string;
  expiresAt: Instant;
}

export interface StepRecord {
  index: number;
  occurrence: OccurrenceRecord;
  specification: StepSpecification;
  tasks: TaskRecord[];
  doneCount: number;
  /** Tasks that are neither done nor on a VM. */
  waiting: Set<TaskRecord>;
  /** True once all steps before it are done and the occurrence is due. */
  ready: boolean;
  /** Time from the start of this step to the end of the job on its critical path. */
  criticalPathMs: number;
  /** Tickets of the adviser by instance id of the VM; only for queues with advice. */
  tickets: Map<string, Ticket>;
}

export interface OccurrenceRecord {
  job: JobRecord;
  index: number;
  dueAt: Instant;
  steps: StepRecord[];
  state: JobState;
  /** The state in the store. */
  storedState: JobState | null;
  /** Ids of VMs that the store names as holding runs of it; orders to start go to these only. */
  storedVms: Set<AgentId>;
  /** Has changes that are not stored yet. */
  dirty: boolean;
  startedAt: Instant | null;
  /** Core-milliseconds of all tasks, and of those that are not done, by their estimates. */
  work: number;
  remainingWork: number;
}

export interface JobRecord {
  id: JobId;
  /** The queue as it was configured when the job was accepted. */
  policy: QueuePolicy;
  specification: JobSpecification;
  submittedAt: Instant;
  occurrences: Map<number, OccurrenceRecord>;
  cancelled: boolean;
  /** When all of it had ended; null while it is unfinished. */
  finishedAt: Instant | null;
}

export interface VmHealth {
  /** Jobs of which a run failed or stalled there since the last run that was done. */
  failedJobs: Set<JobId>;
  /** When a run last ended as done there. */
  succeededAt: Instant | null;
  /** No start before this time. */
  cooledUntil: Instant;
}

export interface OrphanRun {
  taskId: TaskId;
  run: number;
  sendAt: Instant;
}

export interface VmRecord {
  /** Id of the runner beside it. */
  id: AgentId;
  address: string;
  processId: string;
  /** The session of the runner; 0 while its lease has lapsed or before its first report. */
  session: number;
  announcement: VmAnnouncement | null;
  runs: Map<string, RunRecord>;
  used: Resources;
  /** Processor demand of tasks that fill. */
  fillMillicores: number;
  /** Number of serving tasks on it, and the processor time that they ask for. */
  servingCount: number;
  servingMillicores: number;
  /** Pressure that filling work may put on the serving tasks; null without serving tasks. */
  pressureAllowance: number | null;
  /** Room that is being freed for a task, with the time until which it is kept. */
  reservations: Map<TaskRecord, Instant>;
  /** Runs there that belong to no task that may run; they are told to stop. */
  orphans: Map<string, OrphanRun>;
  /** The lease has expired since the last report. */
  lapsed: boolean;
  /** From this time on, the lease of the VM has surely expired unless it is granted again. */
  lapseAt: Instant;
  reportedAt: Instant;
  /** The last end that has been applied. */
  lastEnd: number;
  /** Ends up to this one are stored. */
  settledThrough: number;
  health: VmHealth;
}

export function runKey(taskId: TaskId, run: number): string {
  return `${taskId}#${run}`;
}

export function instanceKeyOf(announcement: VmAnnouncement): string {
  return `${announcement.instanceId}@${announcement.bornWallMs}`;
}
