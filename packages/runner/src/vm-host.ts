/**
 * The VM beside a runner, as the runner may call it. Only this runner calls it.
 */
import type { EndedRun, RunningTask, RunReference, StartRefusal } from '@figjunction/types';

/** Every call names the life of the VM that it is meant for and the epoch of the scheduler. */
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
  /** Null to look without extending the lease. */
  leaseUntilVmMs: number | null;
  /** Ends up to this one may be forgotten. */
  settledThrough: number;
  /** The answer waits this long for a run to end. */
  waitMs: number;
}

export interface HoldResult {
  /** The VM's steady clock when it answered. */
  vmClockMs: number;
  bornWallMs: number;
  running: RunningTask[];
  ended: EndedRun[];
}

export enum HoldRefusal {
  /** A scheduler with a higher epoch has called the VM. */
  Fenced = 'fenced',
  OtherInstance = 'other-instance',
}

/** Calls without an answer throw a `RunnerError` with `ErrorCode.OutcomeUnknown`. */
export abstract class VmHost {
  /** Null when the run has started or runs already. */
  abstract start(request: StartRequest): Promise<StartRefusal | null>;

  /** After an answer, the run has ended, is about to, or can no longer start. */
  abstract stop(request: StopRequest): Promise<void>;

  abstract hold(request: HoldRequest): Promise<HoldResult | HoldRefusal>;

  /** Sets the share of its speed at which a run works. */
  abstract pace(request: PaceRequest): Promise<void>;
}
