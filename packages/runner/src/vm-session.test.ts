/**
 * Guards against losing ends of a VM whose lease has expired, and against lists that overtake each other without a trace
 * in the log.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sleep } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import { FakeResponse, FakeVmHost } from './fake-vm-host.js';
import type { HoldRefusal, HoldRequest, HoldResult } from './vm-host.js';
import { createManualSession, runTask } from './vm-session-fixture.js';

/** Responds to a call once the poll ends that was set when the call was made. */
class PollingVmHost extends FakeVmHost {
  pollEnd: Promise<void> | null = null;

  override async hold(request: HoldRequest): Promise<HoldResult | HoldRefusal> {
    await this.pollEnd;
    return super.hold(request);
  }
}

/** Responds to each call after a millisecond, also to a long poll. */
class QuickVmHost extends FakeVmHost {
  override async hold(request: HoldRequest): Promise<HoldResult | HoldRefusal> {
    await sleep(1);
    return super.hold(request);
  }
}

test('keeps ends that were not acknowledged when the lease expired', async () => {
  const { host, session, advance } = createManualSession();
  await session.refresh();
  session.lease.grantUntil(host.vmClockMs + 5_000);
  runTask(host, 'a.0.0.0');
  host.end('a.0.0.0', RunEnding.Done);
  await session.refresh();
  advance(6_000);
  assert.ok(session.lease.isExpired);
  await session.refresh();
  assert.equal(session.runs.unacknowledged.length, 1);
  assert.deepEqual(session.vanished, []);
  assert.equal(session.settledThrough, 0);
});

test('keeps ends that occur after the lease was granted again', async () => {
  const { host, session, advance } = createManualSession();
  await session.refresh();
  session.lease.grantUntil(host.vmClockMs + 5_000);
  advance(6_000);
  assert.ok(session.lease.isExpired);
  await session.refresh();
  session.lease.grantUntil(host.vmClockMs + 5_000);
  runTask(host, 'b.0.0.0');
  host.end('b.0.0.0', RunEnding.Failed);
  await session.refresh();
  assert.equal(session.runs.unacknowledged.length, 1);
  assert.equal(session.lease.isExpired, false);
});

test('keeps ends of a list that was requested before the lease was granted again', async () => {
  const host = new PollingVmHost();
  const { session, advance } = createManualSession(host);
  await session.refresh();
  session.lease.grantUntil(host.vmClockMs + 5_000);
  advance(6_000);
  assert.ok(session.lease.isExpired);
  let endPoll = (): void => {};
  host.pollEnd = new Promise((resolve) => {
    endPoll = resolve;
  });
  const poll = session.refresh();
  host.pollEnd = null;
  await session.refresh();
  session.lease.grantUntil(host.vmClockMs + 5_000);
  runTask(host, 'b.0.0.0');
  host.end('b.0.0.0', RunEnding.Done);
  endPoll();
  await poll;
  assert.equal(session.runs.unacknowledged.length, 1);
  assert.equal(session.settledThrough, 0);
});

test('keeps ends through calls without an answer after the expiry of the lease', async () => {
  const { host, session, advance } = createManualSession();
  await session.refresh();
  session.lease.grantUntil(host.vmClockMs + 5_000);
  runTask(host, 'a.0.0.0');
  host.end('a.0.0.0', RunEnding.Done);
  advance(6_000);
  host.holdResponse = FakeResponse.Dropped;
  await assert.rejects(session.refresh());
  assert.ok(session.lease.isExpired);
  host.holdResponse = FakeResponse.Normal;
  await session.refresh();
  session.lease.grantUntil(host.vmClockMs + 5_000);
  runTask(host, 'a.0.0.0');
  host.end('a.0.0.0', RunEnding.Done);
  await session.refresh();
  assert.equal(session.runs.unacknowledged.length, 2);
  assert.equal(session.settledThrough, 0);
});

test('keeps ends from before a runner restart while other runs are still running', async () => {
  const { host, session } = createManualSession();
  runTask(host, 'a.0.0.0');
  runTask(host, 'a.0.0.1');
  host.end('a.0.0.0', RunEnding.Done);
  await session.refresh();
  assert.equal(session.listedEpoch, 1);
  assert.equal(session.runs.unacknowledged.length, 1);
});

test('keeps the ends up to one caused by the expiry of the lease', async () => {
  const { host, session } = createManualSession();
  runTask(host, 'a.0.0.0');
  runTask(host, 'a.0.0.1');
  host.end('a.0.0.0', RunEnding.Done);
  host.end('a.0.0.1', RunEnding.Lapsed);
  await session.refresh();
  assert.equal(session.listedEpoch, 1);
  assert.equal(session.runs.unacknowledged.length, 2);
});

test('keeps the ends that precede an expiry of the lease which only the VM has noticed', async () => {
  const { host, session } = createManualSession();
  await session.refresh();
  session.lease.grantUntil(host.vmClockMs + 5_000);
  ['a.0.0.0', 'a.0.0.1', 'a.0.0.2'].forEach((taskId) => runTask(host, taskId));
  await session.refresh();
  host.end('a.0.0.0', RunEnding.Done);
  host.end('a.0.0.1', RunEnding.Lapsed);
  await session.refresh();
  host.end('a.0.0.2', RunEnding.Done);
  await session.refresh();
  assert.deepEqual(
    session.runs.unacknowledged.map(({ taskId, ending }) => `${taskId} ${ending}`),
    [`a.0.0.0 ${RunEnding.Done}`, `a.0.0.1 ${RunEnding.Lapsed}`, `a.0.0.2 ${RunEnding.Done}`],
  );
  assert.deepEqual(session.vanished, []);
  assert.equal(session.settledThrough, 0);
});

test('ignores a list of another incarnation of the VM', async () => {
  const { session } = createManualSession(new FakeVmHost(2_000));
  await session.refresh();
  assert.equal(session.listedEpoch, 0);
});

test('ignores a list that is older than the last applied one, and logs it', async () => {
  const { host, session, events } = createManualSession();
  await session.refresh();
  assert.deepEqual(events.fieldsOf('list-overtaken'), []);
  host.vmClockMs -= 300;
  runTask(host, 'a.0.0.0');
  await session.refresh();
  assert.deepEqual(events.fieldsOf('list-overtaken'), [
    { instance: 'instance-1', vmClockMs: 9_700, lastVmClockMs: 10_000 },
  ]);
  assert.equal(session.runs.isListed({ taskId: 'a.0.0.0', run: 1 }), false);
  host.vmClockMs += 300;
  await session.refresh();
  assert.ok(session.runs.isListed({ taskId: 'a.0.0.0', run: 1 }));
  assert.equal(events.fieldsOf('list-overtaken').length, 1);
});

test('pauses between lists while their ends wait for an acknowledgement', async () => {
  const host = new QuickVmHost();
  const { session } = createManualSession(host);
  runTask(host, 'a.0.0.0');
  host.end('a.0.0.0', RunEnding.Done);
  const running = session.run();
  await sleep(600);
  session.stop();
  await running;
  assert.ok(host.holds.length > 1);
  assert.ok(host.holds.length < 10, `${host.holds.length} lists were requested in 600 ms`);
});
