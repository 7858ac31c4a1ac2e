/**
 * Guards against ends that the runner discards as listed before an expiry of the lease: they would be acknowledged, and
 * their tasks would start again.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RunEnding } from '@figjunction/types';
import { createManualSession, runTask } from './vm-session-fixture.js';

test('acknowledges no end by itself, whether or not the clock of the VM is past the end of its lease', async () => {
  const { host, session, clock } = createManualSession();
  await session.refresh();
  session.lease.grantUntil(host.vmClockMs + 5_000);
  runTask(host, 'a.0.0.0');
  host.end('a.0.0.0', RunEnding.Done);
  clock.advance(5_200);
  host.vmClockMs += 5_050;
  assert.ok(session.lease.isExpired);
  for (const passedMs of [0, 200, 5_000]) {
    host.vmClockMs += passedMs;
    await session.refresh();
    assert.equal(session.settledThrough, 0);
    assert.equal(session.runs.unacknowledged.length, 1);
  }
});

test('gives up no run while the VM still runs it after the end of its lease', async () => {
  const { host, session, advance } = createManualSession();
  await session.refresh();
  session.lease.grantUntil(host.vmClockMs + 5_000);
  ['a.0.0.0', 'a.0.0.1'].forEach((taskId) => runTask(host, taskId));
  host.end('a.0.0.0', RunEnding.Done);
  advance(6_000);
  await session.refresh();
  assert.ok(session.runs.isListed({ taskId: 'a.0.0.1', run: 1 }));
  host.end('a.0.0.1', RunEnding.Lapsed);
  await session.refresh();
  assert.deepEqual(session.vanished, []);
  assert.deepEqual(
    session.runs.unacknowledged.map(({ ending }) => ending),
    [RunEnding.Done, RunEnding.Lapsed],
  );
});

test('logs once which runs have ended with the lease, and how many other ends wait', async () => {
  const { host, session, events, advance } = createManualSession();
  await session.refresh();
  session.lease.grantUntil(15_000);
  advance(6_000);
  runTask(host, 'a.0.0.0');
  runTask(host, 'b.0.0.0');
  host.end('a.0.0.0', RunEnding.Done);
  host.end('b.0.0.0', RunEnding.Lapsed);
  await session.refresh();
  await session.refresh();
  const counts = { lapsed: 1, unacknowledged: 1 };
  const expected = { instance: 'instance-1', untilVmMs: 15_000, vmClockMs: 16_000, ...counts };
  assert.deepEqual(events.fieldsOf('vm-lease-expired'), [expected]);
});
