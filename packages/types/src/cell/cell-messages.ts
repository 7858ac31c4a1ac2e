/**
 * Messages between the scheduler of a cell, the runners beside its VMs and the gateways.
 */
import type { AgentId, JobId } from '../identifiers.js';
import type { JobState, RunEnding, RunReference } from './job-specification.js';
import type { VmAnnouncement } from './fleet-configuration.js';

/** One execution of a task on a VM, as its runner reports it. */
export interface RunningTask extends RunReference {
  checkpoint: string;
  /** Progress of the work, 0 to 100. */
  percent: number;
  /** Tail latency in milliseconds of a serving task; processor use in millicores of any other. */
  reading: number;
}

export interface EndedRun extends RunReference {
  /** Position in the list of ended runs of this incarnation of the VM. */
  sequence: number;
  ending: RunEnding;
  checkpoint: string;
}

/**
 * Why a run did not start. A runner reports a refusal only when the run did not begin and no earlier call can
 * start it any more; while that is unknown, it reports nothing.
 */
export enum StartRefusal {
  Fenced = 'fenced',
  /** The run number is not higher than that of a run that has ended on this VM. */
  Superseded = 'superseded',
  LeaseExpired = 'lease-expired',
  NoRoom = 'no-room',
  InvalidTicket = 'invalid-ticket',
  Unhealthy = 'unhealthy',
  InvalidRequest = 'invalid-request',
  /** The VM has restarted since the start order. */
  OtherInstance = 'other-instance',
  /** No response arrived, and a stop order has ruled out that the run starts. */
  Unanswered = 'unanswered',
  /** The VM accepts no connections, so the call has not reached it. */
  Unreachable = 'unreachable',
  /** The order is out of date: the scheduler has not sent it again for seconds, and its job may have been cancelled. */
  OrderExpired = 'order-expired',
  /** The VM has announced that it drains. */
  VmDraining = 'vm-draining',
  /** The runner has no lease, or its session is another one. */
  NoSession = 'no-session',
}

export interface RunAnswer extends RunReference {
  /** The latest sending of the order that the runner had received, as `StartOrder.attempt` numbers them. */
  attempt: number;
  /** Null when the run has started. */
  refusal: StartRefusal | null;
}

/** A run under which a VM crashed. */
export interface CrashedRun extends RunReference {
  /** Its progress as last listed, 0 to 100. */
  percent: number;
}

export interface ReportParameters {
  agentId: AgentId;
  address: string;
  /** Changes with each start of the runner process. */
  processId: string;
  /** Number of the report among those of its process, starting at 1. */
  sequence: number;
  /** Time from the request of the VM's last applied list to the building of the report; null without a list. */
  listAgeMs: number | null;
  /**
   * `listAgeMs` if the VM leaves calls unanswered or its next list is overdue; 0 while it answers. The scheduler
   * extends the lease of the VM by that much less, because the VM may have crashed that long ago.
   */
  silentMs: number;
  /** The scheduler that the report is for: it leaves out the ends that this scheduler has received. */
  epoch: number;
  /** The session that the scheduler has opened; 0 for none. */
  session: number;
  /** The offered session that this report opens with a list requested since the offer; 0 for none. */
  offeredSession: number;
  vm: VmAnnouncement | null;
  /** All runs on the VM; null when only changes are sent. */
  running: RunningTask[] | null;
  /** Runs that were on the VM when it crashed. Sent with the report that opens a session, until it is accepted. */
  crashed: CrashedRun[];
  ended: EndedRun[];
  /** True if the VM may hold further ends, which its last list left out: a run in neither list may have ended. */
  hasUnlistedEnds: boolean;
  answers: RunAnswer[];
  /** Pressure that filler tasks may put on the serving tasks; null without serving tasks. */
  pressureAllowance: number | null;
  /** Runs that are no longer on the VM and are missing from its list of ended runs. */
  vanished: RunReference[];
}

export interface ReportResult {
  epoch: number;
  /** The session in which the report was applied; 0 if it was refused. */
  session: number;
  /**
   * A session that the next report of this process may open, once; 0 for none. Only a report that was built after
   * this response can name it, so a delayed report opens no session.
   */
  offeredSession: number;
  /**
   * The runner may extend the lease of its VM for this long, counted from when it sent the report; 0 if the
   * scheduler has not extended the lease. An earlier grant of the session stays valid.
   */
  grantMs: number;
  /** Minimum time between this report and the next one of the runner. */
  pauseMs: number;
  /** Time between two reports that list all runs. */
  listIntervalMs: number;
  /** Ended runs up to this sequence are acknowledged. */
  settledThrough: number;
  /** All runs that the scheduler knows on the VM; only in the response that opens a session. */
  known: RunAttributes[];
}

/** Attributes of a run by which a runner limits the filler tasks on the same VM. */
export interface RunAttributes extends RunReference {
  fills: boolean;
  latencyTargetMs: number | null;
  /** Increase of the log latency of serving tasks on the VM when this filler task runs at full speed. */
  pressure: number;
}

export interface StopOrder extends RunReference {
  /** The last sending of the run's start order; 0 if the scheduler has sent none. */
  attempt: number;
}

export interface StartOrder extends RunAttributes {
  checkpoint: string;
  ticket: string | null;
  /** Number of this sending among those of the order, starting at 1. A refusal of an earlier one decides nothing. */
  attempt: number;
  /** An earlier order for this run may have reached the VM, so a refusal alone does not show that it never began. */
  mayHaveReachedVm: boolean;
}

export interface OrdersParameters {
  epoch: number;
  session: number;
  instanceId: string;
  settledThrough: number;
  /** Payloads of the jobs that the start orders refer to. */
  payloads: Record<JobId, string>;
  starts: StartOrder[];
  /**
   * Time from the arrival of the call in which the runner may call the VM for its starts, in milliseconds: the
   * scheduler doesn't know whether their jobs are cancelled later. Earlier versions don't tell it.
   */
  startsValidMs?: number;
  stops: StopOrder[];
}

export interface OrdersResult {
  answers: RunAnswer[];
}

export interface AdoptParameters {
  epoch: number;
  address: string;
}

export interface RunnerListParameters {
  /** Epoch of the scheduler that asks. */
  epoch: number;
}

/** What the VM has listed since it was asked, for a scheduler whose session with the runner has expired. */
export interface RunnerListResult {
  /** Null if there is no VM, it has given no list, or the runner follows another scheduler. */
  vm: VmAnnouncement | null;
  running: RunReference[];
  ended: EndedRun[];
  /** True if the VM may hold further ends, which its list left out. */
  hasUnlistedEnds: boolean;
}

export interface JobStatesParameters {
  jobIds: JobId[];
}

export interface JobStatesResult {
  /** Null for a job that the scheduler does not know. */
  states: (JobState | null)[];
}

export interface PendingCountsResult {
  /** Accepted jobs without a started task, by queue; null from a process that does not schedule. */
  counts: Record<string, number> | null;
}

/** The row that identifies the current scheduler of a cell. */
export interface CellOwnerRow {
  epoch: number;
  address: string;
  processId: string;
}

/** The lease of that scheduler. */
export interface CellLeaseRow {
  epoch: number;
  /** End of the lease on the store's clock. */
  leasedUntilStoreMs: number;
}

export interface RunnerRow {
  address: string;
}
