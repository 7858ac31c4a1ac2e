/**
 * Messages between the scheduler of a cell, the runners beside its VMs and the gateways.
 */
import type { AgentId, JobId } from '../identifiers.js';
import type { JobState, RunEnding, RunReference } from './job-specification.js';
import type { VmAnnouncement } from './fleet-configuration.js';

/** A run as its runner sees it. */
export interface RunningTask extends RunReference {
  checkpoint: string;
  /** Progress of the work, 0 to 100. */
  percent: number;
  /** Tail latency in milliseconds of a serving task; processor use in millicores of any other. */
  reading: number;
}

export interface EndedRun extends RunReference {
  /** Position in the list of ends of this life of the VM. */
  sequence: number;
  ending: RunEnding;
  checkpoint: string;
}

/** Why a VM did not start a run; each of these proves that the run did not begin. */
export enum StartRefusal {
  Fenced = 'fenced',
  /** The run number is not higher than one that has ended there. */
  Superseded = 'superseded',
  LeaseExpired = 'lease-expired',
  NoRoom = 'no-room',
  InvalidTicket = 'invalid-ticket',
  Unhealthy = 'unhealthy',
  InvalidRequest = 'invalid-request',
  /** The VM has started anew since the order. */
  OtherInstance = 'other-instance',
  /** No answer came, and a stop has made the run impossible. */
  Unanswered = 'unanswered',
  /** The runner holds no lease or another session. */
  NoSession = 'no-session',
}

export interface RunAnswer extends RunReference {
  /** Null when the run has started. */
  refusal: StartRefusal | null;
}

export interface ReportParameters {
  agentId: AgentId;
  address: string;
  /** Changes with each start of the runner process. */
  processId: string;
  /** The session that the scheduler has opened; 0 for none. */
  session: number;
  vm: VmAnnouncement | null;
  /** All runs on the VM; null when only changes are sent. */
  running: RunningTask[] | null;
  ended: EndedRun[];
  answers: RunAnswer[];
  /** Pressure that filling work may put on the serving tasks; null without serving tasks. */
  pressureAllowance: number | null;
  /** Runs that have left the VM without an entry in its list of ends. */
  vanished: RunReference[];
}

export interface ReportResult {
  epoch: number;
  session: number;
  /** The runner may extend the lease of its VM for this long, counted from when it sent the report. */
  grantMs: number;
  /** Shortest time from this report to the next one of the runner. */
  pauseMs: number;
  /** Ends up to this one are stored. */
  settledThrough: number;
  /** All runs that the scheduler knows on the VM; only in the answer that opens a session. */
  known: RunAttributes[];
}

/** What a runner needs to know of a run to pace the work beside it. */
export interface RunAttributes extends RunReference {
  fills: boolean;
  latencyTargetMs: number | null;
  /** Rise of the logarithm of the latency beside it that a filling task causes at full speed. */
  pressure: number;
}

export interface StartOrder extends RunAttributes {
  checkpoint: string;
  ticket: string | null;
}

export interface OrdersParameters {
  epoch: number;
  session: number;
  instanceId: string;
  settledThrough: number;
  /** The payload of each job that is named in the starts. */
  payloads: Record<JobId, string>;
  starts: StartOrder[];
  stops: RunReference[];
}

export interface OrdersResult {
  answers: RunAnswer[];
}

export interface AdoptParameters {
  epoch: number;
  address: string;
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

/** The row that names the scheduler of a cell. */
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
