/**
 * Guards against a runner that reports a smaller capacity of its VM only with the next periodic list, so that the
 * scheduler fills the VM over its capacity, and against a crash of the VM that the scheduler does not learn of.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import { EventLog, createLogger } from '@figjunction/logger';
import { RpcClient } from '@figjunction/rpc';
import { OwnerDirectory } from '@figjunction/scheduler';
import { RandomSource, SystemClock, sleep } from '@figjunction/time';
import { RpcMethod, VmState } from '@figjunction/types';
import type { ReportParameters, ReportResult, VmAnnouncement } from '@figjunction/types';
import { FakeVmHost } from './fake-vm-host.js';
import { Runner } from './runner.js';
import type { HoldResult, HoldRefusal } from './vm-host.js';

const POLL_MS = 10;
const WAIT_TIMEOUT_MS = 2_000;
/** Longer than the test, so that no periodic list hides a change that wakes nothing. */
const LIST_INTERVAL_MS = 60_000;
const MEGABYTES = 1_000;

const ANNOUNCEMENT: VmAnnouncement = {
  instanceId: 'instance-1',
  bornWallMs: 1_000,
  service: 'printing',
  dataCentre: 'istanbul',
  state: VmState.Ready,
  capacity: { processorMillicores: 4_000, memoryMegabytes: MEGABYTES, accelerators: 0 },
  labels: [],
  rack: null,
  remainingMs: null,
};

/** Answers the first list and leaves later long polls open, as a VM without changes does. */
class QuietVmHost extends FakeVmHost {
  override hold(request: Parameters<FakeVmHost['hold']>[0]): Promise<HoldResult | HoldRefusal> {
    return request.waitMs === 0 ? super.hold(request) : new Promise(() => {});
  }
}

/** Records the reports, offers a session to each sender without one, and opens it. */
class RecordingRpcClient extends RpcClient {
  readonly reports: ReportParameters[] = [];

  override call<Result>(_: string, method: RpcMethod, parameters: unknown): Promise<Result> {
    assert.equal(method, RpcMethod.RunnerReport);
    const report = parameters as ReportParameters;
    this.reports.push(report);
    const session = report.session + report.offeredSession;
    const result: ReportResult = {
      epoch: 1,
      session,
      offeredSession: session === 0 ? this.reports.length : 0,
      grantMs: 5_000,
      pauseMs: 0,
      listIntervalMs: LIST_INTERVAL_MS,
      settledThrough: 0,
      known: [],
    };
    return Promise.resolve(result as Result);
  }
}

function createRunner(rpc: RpcClient, host = new QuietVmHost()): Runner {
  const clock = new SystemClock();
  const logger = createLogger({ name: 'test', level: 'silent' });
  // Nothing is read from the store.
  const directory = new OwnerDirectory({
    store: {} as never,
    storeClock: {} as never,
    clock,
    events: new RecordingEventLog(),
  });
  directory.updateOwner({ epoch: 1, address: 'http://scheduler', processId: 'scheduler' });
  return new Runner({
    host,
    clock,
    events: new EventLog({ logger, now: () => clock.now() }),
    rpc,
    directory,
    runnerId: 'vm-1',
    address: 'http://127.0.0.1:1',
    processId: 'process-1',
    random: new RandomSource(1),
    takeOver: () => Promise.resolve(),
  });
}

async function waitForReport(
  { reports }: RecordingRpcClient,
  matches: (report: ReportParameters) => boolean,
): Promise<boolean> {
  const deadline = Date.now() + WAIT_TIMEOUT_MS;
  while (!reports.some(matches) && Date.now() < deadline) {
    await sleep(POLL_MS);
  }
  return reports.some(matches);
}

/** Announces a VM, waits until it is listed, announces the change, and returns whether a report shows it. */
async function isChangeReported(
  change: Partial<VmAnnouncement>,
  isShown: (vm: VmAnnouncement | null) => boolean,
): Promise<boolean> {
  const rpc = new RecordingRpcClient({ sharedToken: 'token' });
  const runner = createRunner(rpc);
  runner.handleAnnouncement(ANNOUNCEMENT);
  runner.start();
  try {
    assert.ok(await waitForReport(rpc, ({ running }) => running !== null));
    runner.handleAnnouncement({ ...ANNOUNCEMENT, ...change });
    return await waitForReport(rpc, ({ vm }) => isShown(vm));
  } finally {
    runner.stop();
  }
}

test('reports at once that the VM is draining', async () => {
  const isShown = (vm: VmAnnouncement | null): boolean => vm?.state === VmState.Draining;
  assert.ok(await isChangeReported({ state: VmState.Draining }, isShown));
});

test('reports at once that the capacity of the VM has changed', async () => {
  const capacity = {
    processorMillicores: 2_000,
    memoryMegabytes: MEGABYTES,
    accelerators: 0,
  };
  const isShown = (vm: VmAnnouncement | null): boolean =>
    vm?.capacity.processorMillicores === capacity.processorMillicores;
  assert.ok(await isChangeReported({ capacity }, isShown), 'no report shows the new capacity');
});

/** Announces a VM with one run and then its next incarnation; returns the runs that are reported as crashed. */
async function findReportedCrash(lastState: VmState): Promise<ReportParameters['crashed']> {
  const rpc = new RecordingRpcClient({ sharedToken: 'token' });
  const host = new QuietVmHost();
  const run = { taskId: 'a.0.0.0', run: 1, checkpoint: '', percent: 30, reading: 0 };
  host.running.push(run);
  const runner = createRunner(rpc, host);
  runner.handleAnnouncement({ ...ANNOUNCEMENT, state: lastState });
  runner.start();
  try {
    assert.ok(await waitForReport(rpc, ({ running }) => running?.length === 1));
    host.running.pop();
    host.bornWallMs = ANNOUNCEMENT.bornWallMs + 1;
    runner.handleAnnouncement({ ...ANNOUNCEMENT, bornWallMs: host.bornWallMs });
    const isOfNextIncarnation = ({ vm, running }: ReportParameters): boolean =>
      vm?.bornWallMs === host.bornWallMs && running !== null;
    assert.ok(await waitForReport(rpc, isOfNextIncarnation));
    return rpc.reports.find(isOfNextIncarnation)?.crashed ?? [];
  } finally {
    runner.stop();
  }
}

test('reports the runs under which the VM has crashed', async () => {
  const crashed = await findReportedCrash(VmState.Ready);
  assert.deepEqual(crashed, [{ taskId: 'a.0.0.0', run: 1, percent: 30 }]);
});

test('reports no crash of a VM that was draining before it started anew', async () => {
  assert.deepEqual(await findReportedCrash(VmState.Draining), []);
});
