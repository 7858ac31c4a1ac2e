/**
 * A VM in memory for tests of the runner. Calls can be left without an answer.
 */
import { ErrorCode } from '@figjunction/errors';
import { RunEnding, StartRefusal } from '@figjunction/types';
import type { EndedRun, RunningTask } from '@figjunction/types';
import { RunnerError } from './runner-error.js';
import { HoldRefusal, VmHost } from './vm-host.js';
import type { HoldRequest, HoldResult, PaceRequest, StartRequest, StopRequest } from './vm-host.js';

export enum FakeAnswer {
  Normal = 'normal',
  /** The call is carried out, its answer is lost. */
  Lost = 'lost',
  /** The call is not carried out. */
  Dropped = 'dropped',
}

export class FakeVmHost extends VmHost {
  vmClockMs = 10_000;

  running: RunningTask[] = [];

  ended: EndedRun[] = [];

  startAnswer = FakeAnswer.Normal;

  holdAnswer = FakeAnswer.Normal;

  readonly starts: StartRequest[] = [];

  readonly stops: StopRequest[] = [];

  readonly paces: PaceRequest[] = [];

  readonly holds: HoldRequest[] = [];

  private highestEpoch = 0;

  private sequence = 0;

  constructor(private readonly bornWallMs = 1_000) {
    super();
  }

  override start(request: StartRequest): Promise<StartRefusal | null> {
    this.starts.push(request);
    const { taskId, run } = request;
    if (this.startAnswer !== FakeAnswer.Dropped) {
      this.running.push({ taskId, run, checkpoint: '', percent: 0, reading: 0 });
    }
    return this.startAnswer === FakeAnswer.Normal ? Promise.resolve(null) : noAnswer();
  }

  override stop(request: StopRequest): Promise<void> {
    this.stops.push(request);
    this.end(request.taskId, RunEnding.Stopped);
    return Promise.resolve();
  }

  override hold(request: HoldRequest): Promise<HoldResult | HoldRefusal> {
    this.holds.push(request);
    if (this.holdAnswer !== FakeAnswer.Normal) {
      return noAnswer();
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

function noAnswer(): Promise<never> {
  return Promise.reject(new RunnerError('no answer', { code: ErrorCode.OutcomeUnknown }));
}
