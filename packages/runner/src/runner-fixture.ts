/**
 * Test fixture: a runner with an in-memory VM that reports to a scheduler in the same process, which has a job of
 * two tasks. The clocks of all three are advanced by the test.
 */
import assert from 'node:assert/strict';
import { ErrorCode } from '@figjunction/errors';
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import { RpcClient } from '@figjunction/rpc';
import { OwnerDirectory } from '@figjunction/scheduler';
import {
  FIXTURE_EPOCH,
  FIXTURE_RUNNER_ADDRESS,
  createRunnerSessions,
} from '@figjunction/scheduler/runner-sessions-fixture';
import type { RunnerSessionsFixture } from '@figjunction/scheduler/runner-sessions-fixture';
import { applyOrderResponses, placeTasks } from '@figjunction/scheduling';
import { createAnnouncement } from '@figjunction/scheduling/cell-fixture';
import type { VmRecord } from '@figjunction/scheduling';
import { RandomSource, sleep } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import type { ReportParameters } from '@figjunction/types';
import { FakeVmHost } from './fake-vm-host.js';
import { Runner } from './runner.js';
import { RunnerError } from './runner-error.js';
import type { HoldRefusal, HoldRequest, HoldResult } from './vm-host.js';

export const GRANT_MS = 5_000;
const WAIT_TIMEOUT_MS = 5_000;
const POLL_MS = 5;

/** Passes reports to the scheduler in this process and keeps a copy of each. */
class RecordingRpcClient extends RpcClient {
  readonly reports: ReportParameters[] = [];

  /** While true, reports are kept without being delivered. */
  isCutOff = false;

  constructor(private readonly scheduler: RunnerSessionsFixture) {
    super({ sharedToken: 'token' });
  }

  override async call<Result>(_address: string, _method: string, parameters: unknown) {
    const report = structuredClone(parameters) as ReportParameters;
    this.reports.push(report);
    if (this.isCutOff) {
      throw new RunnerError('no answer', { code: ErrorCode.TimedOut });
    }
    return this.scheduler.sessions.handleReport(structuredClone(report)) as Result;
  }
}

/** Passes the calls of the scheduler to the runner in this process. */
class RunnerRpcClient extends RpcClient {
  /** While false, calls get no response. */
  isConnected = false;

  constructor(private readonly runner: () => Runner) {
    super({ sharedToken: 'token' });
  }

  override async call<Result>(_address: string, method: RpcMethod, parameters: unknown) {
    const handler = this.runner().handlers()[method];
    if (!this.isConnected || handler === undefined) {
      throw new RunnerError('no answer', { code: ErrorCode.TimedOut });
    }
    return (await handler(parameters as never, { headers: {} })) as Result;
  }
}

/** Delays each list, as long polling does. */
class PollingVmHost extends FakeVmHost {
  override async hold(request: HoldRequest): Promise<HoldResult | HoldRefusal> {
    await sleep(POLL_MS);
    return super.hold(request);
  }
}

export class RunnerFixture {
  readonly schedulerRpc = new RunnerRpcClient(() => this.runner);

  readonly scheduler = createRunnerSessions({ rpc: this.schedulerRpc });

  readonly vm = this.scheduler.state.vms.get('vm-1') as VmRecord;

  readonly rpc = new RecordingRpcClient(this.scheduler);

  readonly host: FakeVmHost = new PollingVmHost();

  /** Events of the runner. */
  readonly events = new RecordingEventLog();

  readonly runner: Runner = this.createRunner();

  /** Starts the runner beside its VM, with a run of each of the two tasks on it. */
  static async startWithTasks(): Promise<RunnerFixture> {
    const fixture = new RunnerFixture();
    fixture.runner.start();
    fixture.runner.handleAnnouncement(createAnnouncement());
    assert.equal(await fixture.startTasks(), 2);
    return fixture;
  }

  /** Moves the clocks of the scheduler, the runner and the VM. */
  advance(milliseconds: number): void {
    this.scheduler.clock.advance(milliseconds);
    this.host.vmClockMs += milliseconds;
  }

  async waitUntil(isSatisfied: () => boolean): Promise<void> {
    const deadline = Date.now() + WAIT_TIMEOUT_MS;
    while (!isSatisfied()) {
      assert.ok(Date.now() < deadline, 'the condition was not met within the timeout');
      await sleep(POLL_MS);
    }
  }

  /** Waits until the runner accepts orders, starts all waiting tasks and returns the number of their runs. */
  async startTasks(): Promise<number> {
    const { scheduler, vm, runner } = this;
    await this.waitUntil(() => vm.session !== 0);
    const { started } = placeTasks(scheduler.state, scheduler.clock.now());
    const attributes = { fills: false, latencyTargetMs: null, pressure: 0 };
    const starts = started.map(({ task, run }) => ({
      taskId: task.id,
      run,
      checkpoint: '',
      ticket: null,
      attempt: 1,
      mayHaveReachedVm: false,
      ...attributes,
    }));
    const orders = {
      epoch: FIXTURE_EPOCH,
      session: vm.session,
      instanceId: vm.announcement?.instanceId ?? '',
      settledThrough: 0,
      payloads: {},
      starts,
      stops: [],
    };
    // The runner learns of its session one turn after the scheduler has opened it.
    await sleep(POLL_MS);
    const handler = runner.handlers()[RpcMethod.RunnerOrders];
    const result = await handler?.(orders, { headers: {} });
    assert.ok(result !== undefined);
    applyOrderResponses(scheduler.state, vm, result, scheduler.clock.now());
    return vm.runs.size;
  }

  private createRunner(): Runner {
    const { clock } = this.scheduler;
    // Nothing is read from the store.
    const directory = new OwnerDirectory({
      store: {} as never,
      storeClock: {} as never,
      clock,
      events: this.events,
    });
    const owner = { epoch: FIXTURE_EPOCH, address: 'http://scheduler', processId: 'scheduler' };
    directory.updateOwner(owner);
    return new Runner({
      host: this.host,
      clock,
      events: this.events,
      rpc: this.rpc,
      directory,
      runnerId: 'vm-1',
      address: FIXTURE_RUNNER_ADDRESS,
      processId: 'process-1',
      random: new RandomSource(1),
      takeOver: () => Promise.resolve(),
    });
  }
}
