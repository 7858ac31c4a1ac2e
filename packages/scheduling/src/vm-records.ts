/**
 * The VMs of a cell, with what is known of their health, their leases and the ends of their runs. These types hold data
 * only.
 */
import type { Instant } from '@figjunction/time';
import type {
  AgentId,
  JobId,
  Resources,
  StepSpecification,
  TaskId,
  VmAnnouncement,
} from '@figjunction/types';
import type { OccurrenceRecord, RunRecord, TaskRecord } from './records.js';

/** An end that was applied and is not acknowledged yet. */
export interface UnsettledEnd {
  sequence: number;
  occurrence: OccurrenceRecord;
  /** The last change of the occurrence when the end had been applied. The effect of the end is stored with it. */
  change: number;
  appliedAt: Instant;
}

/** Suspicion that the VM makes runs fail. It ends by itself, or with a successful run. */
export interface VmSuspicion {
  /** Runs that were placed before it say nothing new when they fail. */
  since: Instant;
  /** No run is started on the VM before this time. */
  backoffUntil: Instant;
  /** Until this time the number of new runs on the VM is limited. */
  endsAt: Instant;
}

export interface VmHealth {
  /** Jobs with a run that failed or stalled on the VM since the last successful run there. */
  failedJobs: Set<JobId>;
  /** When a run last succeeded on the VM; null if none has. */
  succeededAt: Instant | null;
  /** Null until runs of several jobs have failed on the VM; it may have ended. */
  suspicion: VmSuspicion | null;
  /** After a refusal, no run is started on the VM before this time. */
  backoffUntil: Instant;
}

/** A reported run that belongs to no task that may run. It holds its resources until its end is reported. */
export interface OrphanRun {
  taskId: TaskId;
  run: number;
  /** The step of its task, for the resources of the run; null if the task is not in the tables. */
  specification: StepSpecification | null;
  /** When its stop order is sent next. */
  sendAt: Instant;
}

export interface VmRecord {
  /** Id of the VM's runner. */
  id: AgentId;
  address: string;
  processId: string;
  /** The session of the runner; 0 before its first report and after its lease has expired. */
  session: number;
  announcement: VmAnnouncement | null;
  runs: Map<string, RunRecord>;
  /** The task that the VM was last kept for, so that it starts there alone. */
  trial: { task: TaskRecord; emptyBy: Instant; validUntil: Instant } | null;
  /** The last run that was started alone on the VM; it may have ended. */
  runOnTrial: RunRecord | null;
  /** Resources that its runs request. The processor demand of filler tasks is counted separately. */
  used: Resources;
  /** Processor demand of filler tasks, which use only the processor time that other tasks leave unused. */
  fillMillicores: number;
  /** Number of serving tasks on the VM. */
  servingCount: number;
  /** Processor demand of the serving tasks. */
  servingMillicores: number;
  /** Limit on the pressure of filler tasks on the serving tasks, as reported; null without serving tasks. */
  pressureAllowance: number | null;
  /** Tasks that capacity is being freed for, each with the time at which its reservation expires. */
  reservations: Map<TaskRecord, Instant>;
  /** Reported runs that belong to no task that may run. The runner is ordered to stop them. */
  orphans: Map<string, OrphanRun>;
  /** Until when its runs are kept for its list, although its lease has expired; null if it has not. */
  listAwaitedUntil: Instant | null;
  /** The runs that the expiry of the lease has removed. If the VM has crashed, it was under these. */
  lapsedRuns: RunRecord[];
  /** Upper bound on the expiry of the VM's lease, allowing for a slow VM clock. Reports extend it while the VM answers. */
  leaseExpiresAt: Instant;
  reportedAt: Instant;
  /** True if, by its last report, the VM has left its runner without an answer. No run is started there. */
  isSilent: boolean;
  /** When a report last contained the list of its runs. */
  listedAt: Instant;
  /** Runs that the list at the start of the session left out, but whose ends the VM may not have listed yet. */
  unlistedRuns: Set<RunRecord>;
  /** Sequence number of the last end that was applied. */
  lastEndSequence: number;
  /** Applied ends that are not acknowledged yet, in the order of their sequence numbers. */
  unsettledEnds: UnsettledEnd[];
  /** Ends up to this sequence number are acknowledged to the runner. */
  settledThrough: number;
  health: VmHealth;
}
