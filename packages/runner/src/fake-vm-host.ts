/**
 * An in-memory VM for tests of the runner. Start, stop and hold calls can be made to fail without a response.
 */
import { ErrorCode } from '@figjunction/errors';
import { RunEnding, StartRefusal } from '@figjunction/types';
import type { EndedRun, RunningTask } from '@figjunction/types';
import { RunnerError } from './runner-error.js';
import { HoldRefusal, StopOutcome, VmHost } from './vm-host.js';
import type { HoldRequest, HoldResult, PaceRequest, StartRequest, StopRequest } from './vm-host.js';

export enum FakeResponse {
  Normal = 'normal',
  /** The call takes effect but its response is lost. */
  Lost = 'lost',
  /** The call has no effect and gets no response. */
  Dropped = 'dropped',
  /** The connection is refused, so the call is not sent. */
  NotSent = 'not-sent',
}

export class FakeVmHost extends VmHost {
  vmClockMs = 10_000;

  running: RunningTask[] = [];

  ended: EndedRun[] = [];

  startResponse = FakeResponse.Normal;

  /** The refusal of the next starts that get a response; null to start the runs. */
  startRefusal: StartRefusal | null = null;

  holdResponse = FakeResponse.Normal;

  stopResponse = FakeResponse.Normal;

  readonly starts: StartRequest[] = [];

  readonly stops: StopRequest[] = [];

  readonly paces: PaceRequest[] = [];

  readonly holds: HoldRequest[] = [];

  private highestEpoch = 0;

  private sequence = 0;

  constructor(public bornWallMs = 1_000) {
    super();
  }

  override start(request: StartRequest): Promise<StartRefusal | null> {
    this.starts.push(request);
    const { taskId, run } = request;
    if (this.startResponse === FakeResponse.NotSent) {
      return Promise.reject(new RunnerError('not sent', { code: ErrorCode.Unavailable }));
    }
    if (this.startResponse === FakeResponse.Normal && this.startRefusal !== null) {
      return Promise.resolve(this.startRefusal);
    }
    if (this.startResponse !== FakeResponse.Dropped) {
      this.running.push({ taskId, run, checkpoint: '', percent: 0, reading: 0 });
    }
    return this.startResponse === FakeResponse.Normal
      ? Promise.resolve(null)
      : rejectWithoutResponse();
  }

  override stop(request: StopRequest): Promise<StopOutcome> {
    this.stops.push(request);
    if (this.stopResponse === FakeResponse.Dropped) {
      return rejectWithoutResponse();
    }
    if (request.epoch < this.highestEpoch) {
      return Promise.resolve(StopOutcome.Refused);
    }
    this.end(request.taskId, RunEnding.Stopped);
    return Promise.resolve(StopOutcome.Stopped);
  }

  override hold(request: HoldRequest): Promise<HoldResult | HoldRefusal> {
    this.holds.push(request);
    if (this.holdResponse !== FakeResponse.Normal) {
      return rejectWithoutResponse();
    }
    if (request.epoch < this.highestEpoch) {
      return Promise.resolve(HoldRefusal.Fenced);
    }
    this.highestEpoch = request.epoch;
    this.ended = this.ended.filter(({ sequence }) => sequence > request.settledThrough);
    const { vmClockMs, bornWallMs } = this;
    const running = this.running.map((task) => ({ ...task }));
    return Promise.resolve({ vmClockMs, bornWallMs, running, ended: [...this.ended] });
  }

  override pace(request: PaceRequest): Promise<void> {
    this.paces.push(request);
    return Promise.resolve();
  }

  end(taskId: string, ending: RunEnding): void {
    const task = this.running.find((entry) => entry.taskId === taskId);
    if (task !== undefined) {
      this.running = this.running.filter((entry) => entry !== task);
      this.sequence += 1;
      const { run } = task;
      this.ended.push({ sequence: this.sequence, taskId, run, ending, checkpoint: '' });
    }
  }
}

function rejectWithoutResponse(): Promise<never> {
  return Promise.reject(new RunnerError('no response', { code: ErrorCode.OutcomeUnknown }));
}
