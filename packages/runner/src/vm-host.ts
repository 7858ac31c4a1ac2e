/**
 * The runner's interface to its VM. Only this runner calls the VM.
 */
import type { EndedRun, RunningTask, RunReference, StartRefusal } from '@figjunction/types';

/** Fields of every call: the VM incarnation that it addresses and the epoch of the scheduler. */
export interface VmCall {
  instanceId: string;
  epoch: number;
}

export interface StartRequest extends VmCall, RunReference {
  payload: string;
  checkpoint: string;
  ticket: string | null;
  /** End of the lease on the VM's clock. */
  leaseUntilVmMs: number;
}

export interface StopRequest extends VmCall, RunReference {}

export interface PaceRequest extends VmCall, RunReference {
  percent: number;
}

export interface HoldRequest extends VmCall {
  /** New end of the lease on the VM's clock; null to list the runs without extending the lease. */
  leaseUntilVmMs: number | null;
  /** Sequence number of the last acknowledged end; the VM may drop the ends up to it. */
  settledThrough: number;
  /** The VM delays its response for up to this long until a run ends (long polling). */
  waitMs: number;
}

/** A list holds at most this many ends. The VM lists further ones once these are acknowledged. */
const LISTED_ENDS_MAXIMUM = 500;

/** True if the VM may hold further ends than those in its list. */
export function mayLeaveOutEnds(listed: EndedRun[]): boolean {
  return listed.length >= LISTED_ENDS_MAXIMUM;
}

export interface HoldResult {
  /** The VM's monotonic clock when it responded. */
  vmClockMs: number;
  bornWallMs: number;
  running: RunningTask[];
  /** Not all of them if there are many (`mayLeaveOutEnds`), so a run that has ended may be in neither list. */
  ended: EndedRun[];
}

export enum HoldRefusal {
  /** The VM has received a call with a higher epoch. */
  Fenced = 'fenced',
  OtherInstance = 'other-instance',
}

export enum StopOutcome {
  /** The run has ended, is ending, or can no longer start. */
  Stopped = 'stopped',
  /** The VM did nothing: it has received a call with a higher epoch, or is another incarnation. */
  Refused = 'refused',
}

/**
 * A call that gets no response throws an error with `ErrorCode.OutcomeUnknown`, or with `ErrorCode.Unavailable` if it
 * has not reached the VM.
 */
export abstract class VmHost {
  /** Starts a run. Returns null if it has started or is already running. */
  abstract start(request: StartRequest): Promise<StartRefusal | null>;

  abstract stop(request: StopRequest): Promise<StopOutcome>;

  /** Extends the lease of the VM and lists its running and ended runs. */
  abstract hold(request: HoldRequest): Promise<HoldResult | HoldRefusal>;

  /** Sets the pace of a run, as a percentage of full speed. */
  abstract pace(request: PaceRequest): Promise<void>;
}
