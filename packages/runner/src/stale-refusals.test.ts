/**
 * Guards against the refusal of a start order that is applied after, or shortly before, a repeated order starts
 * the same run: the scheduler would drop a run that works, and start its task a second time.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
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
import type { RunRecord, VmRecord } from '@figjunction/scheduling';
import { createAnnouncement } from '@figjunction/scheduling/cell-fixture';
import { RandomSource, sleep } from '@figjunction/time';
import { RpcMethod, StartRefusal } from '@figjunction/types';
import type { ReportParameters, ReportResult, StartOrder } from '@figjunction/types';
import { FakeResponse, FakeVmHost } from './fake-vm-host.js';
import { Runner } from './runner.js';
import { RunnerError } from './runner-error.js';
import type { HoldRefusal, HoldRequest, HoldResult, StartRequest } from './vm-host.js';

/** Longer than the executor waits for the results that go into the response to the orders. */
const SLOW_START_MS = 400;
const POLL_MS = 5;
const WAIT_TIMEOUT_MS = 5_000;
/** Further starts wait in the queue of the executor. */
const CONCURRENT_STARTS = 8;

class SlowVmHost extends FakeVmHost {
  startDelayMs = SLOW_START_MS;

  override async start(request: StartRequest): Promise<StartRefusal | null> {
    const response = super.start(request).catch((error: unknown) => error as Error);
    await sleep(this.startDelayMs);
    const result = await response;
    if (result instanceof Error) {
      throw result;
    }
    return result;
  }

  override async hold(request: HoldRequest): Promise<HoldResult | HoldRefusal> {
    await sleep(POLL_MS);
    return super.hold(request);
  }
}

const REFUSAL: ReportResult = {
  epoch: FIXTURE_EPOCH,
  session: 0,
  offeredSession: 0,
  grantMs: 0,
  pauseMs: 0,
  listIntervalMs: 0,
  settledThrough: 0,
  known: [],
};

/** Passes reports to the scheduler in this process; those with a refusal get no response and are kept. */
class WithholdingRpcClient extends RpcClient {
  readonly withheld: ReportParameters[] = [];

  /** The scheduler refuses the next report, as it does while its own lease is not renewed in time. */
  refusesNext = false;

  constructor(private readonly scheduler: RunnerSessionsFixture) {
    super({ sharedToken: 'token' });
  }

  override call<Result>(_address: string, _method: string, parameters: unknown): Promise<Result> {
    const report = structuredClone(parameters) as ReportParameters;
    if (report.answers.some(({ refusal }) => refusal !== null)) {
      this.withheld.push(report);
      return Promise.reject(new RunnerError('no answer', { code: ErrorCode.TimedOut }));
    }
    const result = this.refusesNext ? REFUSAL : this.scheduler.sessions.handleReport(report);
    this.refusesNext = false;
    return Promise.resolve(result as Result);
  }
}

let scheduler: RunnerSessionsFixture;
let vm: VmRecord;
let rpc: WithholdingRpcClient;
let host: SlowVmHost;
let runner: Runner;
/** The first run of a task, ordered on the VM. */
let record: RunRecord;

beforeEach(async () => {
  scheduler = createRunnerSessions();
  vm = scheduler.state.vms.get('vm-1') as VmRecord;
  rpc = new WithholdingRpcClient(scheduler);
  host = new SlowVmHost();
  const { clock } = scheduler;
  // Nothing is read from the store.
  const directory = new OwnerDirectory({
    store: {} as never,
    storeClock: {} as never,
    clock,
    events: new RecordingEventLog(),
  });
  directory.updateOwner({ epoch: FIXTURE_EPOCH, address: 'http://scheduler', processId: 's' });
  runner = new Runner({
    host,
    clock,
    events: new RecordingEventLog(),
    rpc,
    directory,
    runnerId: 'vm-1',
    address: FIXTURE_RUNNER_ADDRESS,
    processId: 'process-1',
    random: new RandomSource(1),
    takeOver: () => Promise.resolve(),
  });
  runner.start();
  runner.handleAnnouncement(createAnnouncement());
  await waitUntil(() => vm.session !== 0);
  // The runner learns of its session one turn after the scheduler has opened it.
  await sleep(POLL_MS);
  const [first] = placeTasks(scheduler.state, clock.now()).started;
  assert.ok(first !== undefined);
  record = first;
  record.isSent = true;
});

afterEach(() => runner.stop());

async function waitUntil(isSatisfied: () => boolean): Promise<void> {
  const deadline = Date.now() + WAIT_TIMEOUT_MS;
  while (!isSatisfied()) {
    assert.ok(Date.now() < deadline, 'the condition was not met within the timeout');
    await sleep(POLL_MS);
  }
}

/** The next sending of the order, numbered as the scheduler does. */
function createStart(mayHaveReachedVm: boolean): StartOrder {
  record.attempt += 1;
  const { run, attempt } = record;
  const attributes = { fills: false, latencyTargetMs: null, pressure: 0 };
  const reference = { taskId: record.task.id, run, attempt };
  return { ...reference, checkpoint: '', ticket: null, mayHaveReachedVm, ...attributes };
}

/** Sends orders in the current session and applies the response, as the scheduler does. */
async function send(starts: StartOrder[]): Promise<void> {
  const { session } = vm;
  const instanceId = vm.announcement?.instanceId ?? '';
  const common = { epoch: FIXTURE_EPOCH, settledThrough: 0, payloads: {}, stops: [] };
  const orders = { ...common, session, instanceId, starts };
  const result = await runner.handlers()[RpcMethod.RunnerOrders]?.(orders, { headers: {} });
  assert.ok(result !== undefined);
  if (session === vm.session) {
    applyOrderResponses(scheduler.state, vm, result, scheduler.clock.now());
  }
}

function hasRefusal(): boolean {
  const { id } = record.task;
  return rpc.withheld.some(({ answers }) => answers.some(({ taskId }) => taskId === id));
}

function deliverRefusal(): void {
  const { id } = record.task;
  const report = rpc.withheld.find(({ answers }) => answers.some(({ taskId }) => taskId === id));
  assert.ok(report !== undefined);
  scheduler.sessions.handleReport(report);
}

/** A run that works and that the scheduler does not know is started a second time. */
function assertKnownIfRunning(): void {
  const isRunning = host.running.some(({ taskId }) => taskId === record.task.id);
  const isKnown = record.task.runs.length > 0;
  assert.deepEqual({ isRunning, isKnown }, { isRunning, isKnown: isRunning });
}

test('keeps a run that a repeated order has started when the refusal of the first one arrives late', async () => {
  host.startRefusal = StartRefusal.NoRoom;
  await send([createStart(false)]);
  await waitUntil(hasRefusal);
  // Without a result, the scheduler sends the order again; the VM has room by now.
  host.startRefusal = null;
  host.startDelayMs = 0;
  await send([createStart(true)]);
  deliverRefusal();
  assertKnownIfRunning();
});

test('starts no dropped run when a repeated order is on its way while the refusal is applied', async () => {
  host.startRefusal = StartRefusal.NoRoom;
  await send([createStart(false)]);
  await waitUntil(hasRefusal);
  host.startRefusal = null;
  host.startDelayMs = 0;
  const repeated = createStart(true);
  deliverRefusal();
  await send([repeated]);
  assertKnownIfRunning();
});

test('keeps a run of the next session when its waiting start of the last session is refused late', async () => {
  const { session } = vm;
  host.startResponse = FakeResponse.Dropped;
  const first = createStart(false);
  const fillers = Array.from({ length: CONCURRENT_STARTS }, (_, index) => ({
    ...first,
    taskId: `00000000000000bb.0.0.${index}`,
  }));
  await send([...fillers, first]);
  await waitUntil(() => host.starts.length > CONCURRENT_STARTS);
  rpc.refusesNext = true;
  await waitUntil(() => vm.session > session);
  assert.equal(record.task.runs.length, 1);
  await waitUntil(hasRefusal);
  host.startResponse = FakeResponse.Normal;
  host.startDelayMs = 0;
  await send([createStart(true)]);
  deliverRefusal();
  assertKnownIfRunning();
});
