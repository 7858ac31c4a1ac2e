/**
 * Guards against taking the cell over from a scheduler that has itself just taken over. The response from its
 * predecessor's address, which says that no scheduler runs there, does not apply to the new scheduler. Also
 * guards against a lease that reaches the VM only after its old one has expired.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import { ErrorCode } from '@figjunction/errors';
import { EventLog, createLogger } from '@figjunction/logger';
import { RpcClient } from '@figjunction/rpc';
import { OwnerDirectory } from '@figjunction/scheduler';
import type { OwnerView } from '@figjunction/scheduler';
import type { RpcCallOptions } from '@figjunction/rpc';
import { RandomSource, SystemClock, sleep } from '@figjunction/time';
import type { Clock } from '@figjunction/time';
import type { CellOwnerRow, ReportParameters, ReportResult } from '@figjunction/types';
import { Reporter } from './reporter.js';
import { RunnerError } from './runner-error.js';
import { createVmSession } from './vm-session-fixture.js';
import type { VmSession } from './vm-session.js';

const BEFORE: CellOwnerRow = { epoch: 1, address: 'http://before', processId: 'before' };
/** Far apart, because close seeds begin with nearly the same number. */
const SEEDS = [123_456_789, 987_654_321, 1_234_567_890, 2_000_000_001];
const AFTER: CellOwnerRow = { epoch: 2, address: 'http://after', processId: 'after' };

/** Always returns the successor, with a valid lease. */
class FixedDirectory extends OwnerDirectory {
  constructor(clock: Clock) {
    // Nothing is read from the store, because `refresh` is replaced.
    super({ store: {} as never, storeClock: {} as never, clock, events: new RecordingEventLog() });
  }

  override refresh(): Promise<OwnerView> {
    const lease = { epoch: 2, leasedUntilStoreMs: 9_000 };
    return Promise.resolve({
      owner: AFTER,
      ownerVersion: 5,
      lease,
      leaseVersion: 6,
      highestEpoch: 2,
      storeMs: 7_000,
    });
  }
}

/** Responds that no scheduler runs at the address, and lets the successor announce itself during the call. */
class AnnouncingRpcClient extends RpcClient {
  onCall: () => void = () => {};

  override call<Result>(): Promise<Result> {
    this.onCall();
    const pace = { pauseMs: 0, listIntervalMs: 0 };
    const result = { epoch: 0, session: 0, grantMs: 0, ...pace, settledThrough: 0, known: [] };
    return Promise.resolve(result as Result);
  }
}

interface ReporterChanges {
  clock: Clock;
  directory: OwnerDirectory;
  rpc: RpcClient;
  seed?: number;
  session?: VmSession;
  takeOver?: () => Promise<void>;
}

function createReporter(changes: ReporterChanges): Reporter {
  const { clock, directory, rpc, seed = 1, session = null } = changes;
  const { takeOver = () => Promise.resolve() } = changes;
  const logger = createLogger({ name: 'test', level: 'silent' });
  return new Reporter({
    clock,
    events: new EventLog({ logger, now: () => clock.now() }),
    rpc,
    directory,
    runnerId: 'vm-1',
    address: 'http://mine',
    processId: 'mine',
    random: new RandomSource(seed),
    session: () => session,
    takeOver,
  });
}

test('does not take over from a successor when its predecessor has stopped scheduling', async () => {
  const clock = new SystemClock();
  const directory = new FixedDirectory(clock);
  directory.updateOwner(BEFORE);
  let takeOvers = 0;
  const rpc = new AnnouncingRpcClient({ sharedToken: 'token' });
  const takeOver = (): Promise<void> => {
    takeOvers += 1;
    return Promise.resolve();
  };
  const reporter = createReporter({ clock, directory, rpc, takeOver });
  rpc.onCall = () => {
    directory.updateOwner(AFTER);
    reporter.stop();
  };
  await reporter.run();
  await sleep(0);
  assert.equal(takeOvers, 0);
});

const OFFERED_SESSION = 7;

/** Offers a session to the first report, opens it with the second, and records the timeouts of all reports. */
class SessionRpcClient extends RpcClient {
  readonly timeoutsMs: number[] = [];

  readonly openedSessions: number[] = [];

  onThirdCall: () => void = () => {};

  override call<Result>(
    _address: string,
    _method: string,
    parameters: unknown,
    options: RpcCallOptions = {},
  ): Promise<Result> {
    this.timeoutsMs.push(options.timeoutMs ?? 0);
    this.openedSessions.push((parameters as ReportParameters).offeredSession);
    if (this.timeoutsMs.length === 3) {
      this.onThirdCall();
    }
    const isFirst = this.timeoutsMs.length === 1;
    const result: ReportResult = {
      epoch: 1,
      session: isFirst ? 0 : OFFERED_SESSION,
      offeredSession: isFirst ? OFFERED_SESSION : 0,
      grantMs: 5_000,
      pauseMs: 0,
      listIntervalMs: 10,
      settledThrough: 0,
      known: [],
    };
    return Promise.resolve(result as Result);
  }
}

test('waits longer for the answers to the reports that request and open a session', async () => {
  const clock = new SystemClock();
  const { session } = createVmSession(clock);
  const directory = new FixedDirectory(clock);
  directory.updateOwner(BEFORE);
  const rpc = new SessionRpcClient({ sharedToken: 'token' });
  const reporter = createReporter({ clock, directory, rpc, session });
  rpc.onThirdCall = () => reporter.stop();
  await reporter.run();
  assert.deepEqual(rpc.openedSessions, [0, OFFERED_SESSION, 0]);
  const [request = 0, opening = 0, later = 0] = rpc.timeoutsMs;
  assert.ok(opening > later, `${opening} ms is not longer than ${later} ms`);
  assert.equal(request, opening, 'after a take-over all runners repeat their requests at once');
});

test('tells the VM of the lease at once when a session opens', async () => {
  const clock = new SystemClock();
  const { host, session } = createVmSession(clock);
  const directory = new FixedDirectory(clock);
  directory.updateOwner(BEFORE);
  const rpc = new SessionRpcClient({ sharedToken: 'token' });
  const reporter = createReporter({ clock, directory, rpc, session });
  rpc.onThirdCall = () => reporter.stop();
  await reporter.run();
  assert.equal(rpc.openedSessions[1], OFFERED_SESSION);
  const leases = host.holds.map(({ leaseUntilVmMs }) => leaseUntilVmMs !== null);
  assert.ok(leases.includes(true), 'the VM learns of the lease only with its next poll');
});

/** Answers no report; records when each was sent. */
class SilentRpcClient extends RpcClient {
  readonly sentAt: number[] = [];

  onThirdCall: () => void = () => {};

  constructor(private readonly clock: Clock) {
    super({ sharedToken: 'token' });
  }

  override call<Result>(): Promise<Result> {
    this.sentAt.push(this.clock.now());
    if (this.sentAt.length === 3) {
      this.onThirdCall();
    }
    return Promise.reject(new RunnerError('no answer', { code: ErrorCode.TimedOut }));
  }
}

test('spreads the repeats of reports that got no answer, although the VM has news', async () => {
  const clock = new SystemClock();
  const pauses = await Promise.all(
    SEEDS.map(async (seed) => {
      const directory = new FixedDirectory(clock);
      directory.updateOwner(AFTER);
      const rpc = new SilentRpcClient(clock);
      const reporter = createReporter({ clock, directory, rpc, seed });
      rpc.onThirdCall = () => reporter.stop();
      const news = setInterval(() => reporter.wake(), 20);
      await reporter.run();
      clearInterval(news);
      return (rpc.sentAt[1] ?? 0) - (rpc.sentAt[0] ?? 0);
    }),
  );
  const spread = Math.max(...pauses) - Math.min(...pauses);
  assert.ok(spread > 200, `the repeats lie within ${spread} ms`);
});
