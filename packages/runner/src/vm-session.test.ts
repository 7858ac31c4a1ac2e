/**
 * Guards against ends that count although the lease of the VM had expired, and against lists that are
 * reported before it is clear what they mean.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import { FakeAnswer, FakeVmHost } from './fake-vm-host.js';
import { createVmSession } from './vm-session-fixture.js';

const INHERITED_LEASE_MS = 5_000;

function createSession(inheritedLeaseMs = 0, host = new FakeVmHost()) {
  const clock = new ManualClock(1_000);
  const { session } = createVmSession(clock, { host, inheritedLeaseMs });
  const advance = (milliseconds: number): void => {
    clock.advance(milliseconds);
    host.vmClockMs += milliseconds;
  };
  return { host, session, advance };
}

function runTask(host: FakeVmHost, taskId: string): void {
  host.running.push({ taskId, run: 1, checkpoint: '', percent: 0, reading: 0 });
}

test('voids ends that were not settled when the lease expired', async () => {
  const { host, session, advance } = createSession();
  await session.lookNow();
  session.lease.grantUntil(host.vmClockMs + 5_000);
  runTask(host, 'a.0.0.0');
  host.end('a.0.0.0', RunEnding.Done);
  await session.lookNow();
  assert.equal(session.runs.unsettled.length, 1);
  advance(6_000);
  assert.ok(session.lease.hasExpired());
  await session.lookNow();
  assert.deepEqual(session.runs.unsettled, []);
  assert.deepEqual(session.vanished, [{ taskId: 'a.0.0.0', run: 1 }]);
  assert.equal(session.settledThrough, 1);
  assert.equal(session.lease.untilVmMs, null);
});

test('keeps ends that come after the lease was extended again', async () => {
  const { host, session, advance } = createSession();
  await session.lookNow();
  session.lease.grantUntil(host.vmClockMs + 5_000);
  advance(6_000);
  assert.ok(session.lease.hasExpired());
  await session.lookNow();
  session.lease.grantUntil(host.vmClockMs + 5_000);
  runTask(host, 'b.0.0.0');
  host.end('b.0.0.0', RunEnding.Failed);
  await session.lookNow();
  assert.equal(session.runs.unsettled.length, 1);
  assert.equal(session.lease.hasExpired(), false);
});

test('closes the time before an expiry again when the VM did not answer', async () => {
  const { host, session, advance } = createSession();
  await session.lookNow();
  session.lease.grantUntil(host.vmClockMs + 5_000);
  runTask(host, 'a.0.0.0');
  host.end('a.0.0.0', RunEnding.Done);
  advance(6_000);
  host.holdAnswer = FakeAnswer.Dropped;
  assert.ok(session.lease.hasExpired());
  await assert.rejects(session.lookNow());
  assert.ok(session.lease.hasExpired());
  host.holdAnswer = FakeAnswer.Normal;
  await session.lookNow();
  assert.equal(session.lease.hasExpired(), false);
  assert.equal(session.settledThrough, 1);
  session.lease.grantUntil(host.vmClockMs + 5_000);
  runTask(host, 'a.0.0.0');
  host.end('a.0.0.0', RunEnding.Done);
  await session.lookNow();
  assert.equal(session.runs.unsettled.length, 1);
});

test('reports no list while ends of an earlier process may be void', async () => {
  const { host, session, advance } = createSession(INHERITED_LEASE_MS);
  runTask(host, 'a.0.0.0');
  host.end('a.0.0.0', RunEnding.Done);
  await session.lookNow();
  assert.equal(session.listedEpoch, 0);
  advance(INHERITED_LEASE_MS);
  await session.lookNow();
  assert.equal(session.listedEpoch, 1);
  assert.deepEqual(session.runs.unsettled, []);
});

test('counts ends of an earlier process while its other runs are alive', async () => {
  const { host, session } = createSession(INHERITED_LEASE_MS);
  runTask(host, 'a.0.0.0');
  runTask(host, 'a.0.0.1');
  host.end('a.0.0.0', RunEnding.Done);
  await session.lookNow();
  assert.equal(session.listedEpoch, 1);
  assert.equal(session.runs.unsettled.length, 1);
});

test('voids the ends up to one that says that the lease expired', async () => {
  const { host, session } = createSession(INHERITED_LEASE_MS);
  runTask(host, 'a.0.0.0');
  runTask(host, 'a.0.0.1');
  host.end('a.0.0.0', RunEnding.Done);
  host.end('a.0.0.1', RunEnding.Lapsed);
  await session.lookNow();
  assert.equal(session.listedEpoch, 1);
  assert.deepEqual(session.runs.unsettled, []);
});

test('does not take a list of another life of the VM', async () => {
  const { session } = createSession(0, new FakeVmHost(2_000));
  await session.lookNow();
  assert.equal(session.listedEpoch, 0);
});
