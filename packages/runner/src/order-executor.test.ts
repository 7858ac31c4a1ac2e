/**
 * Guards against reporting a start as failed although its run has begun or can still begin, against refusals that
 * the log does not tell, and against stopped runs about which the scheduler never hears.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sleep } from '@figjunction/time';
import { StartRefusal } from '@figjunction/types';
import type { OrdersParameters, RunAnswer } from '@figjunction/types';
import { FakeResponse } from './fake-vm-host.js';
import {
  CONCURRENT_STARTS,
  ORDERS,
  createExecutor,
  isAlwaysCurrent,
} from './order-executor-fixture.js';

/** Longer than the pause after a stop without a response. */
const STOP_PAUSE_MAXIMUM_MS = 200;

test('returns the result of a start that the VM has confirmed', async () => {
  const { executor, session, host } = await createExecutor();
  assert.deepEqual(
    await executor.execute({ orders: ORDERS, session, isCurrent: isAlwaysCurrent }),
    [{ taskId: 'a.0.0.0', run: 1, attempt: 1, refusal: null }],
  );
  assert.equal(host.starts[0]?.payload, 'print');
  assert.equal(host.starts[0]?.leaseUntilVmMs, 20_000);
});

test('stops a run whose start got no response before reporting the start as failed', async () => {
  const { executor, session, host, lateResults, waitUntil } = await createExecutor();
  host.startResponse = FakeResponse.Dropped;
  assert.deepEqual(
    await executor.execute({ orders: ORDERS, session, isCurrent: isAlwaysCurrent }),
    [],
  );
  await waitUntil(() => lateResults.length > 0);
  assert.deepEqual(lateResults, [
    { taskId: 'a.0.0.0', run: 1, attempt: 1, refusal: StartRefusal.Unanswered },
  ]);
  assert.equal(host.stops.length, 1);
});

test('refuses a start at once that did not reach the VM, so that its task starts elsewhere', async () => {
  const { executor, session, host } = await createExecutor();
  host.startResponse = FakeResponse.NotSent;
  assert.deepEqual(
    await executor.execute({ orders: ORDERS, session, isCurrent: isAlwaysCurrent }),
    [{ taskId: 'a.0.0.0', run: 1, attempt: 1, refusal: StartRefusal.Unreachable }],
  );
  assert.equal(host.starts.length, 1);
  assert.equal(host.stops.length, 0);
});

test('rules out a late start when the VM accepts no connection after a start without a response', async () => {
  const { executor, session, host, lateResults, waitUntil } = await createExecutor();
  host.startResponse = FakeResponse.Dropped;
  const results = executor.execute({ orders: ORDERS, session, isCurrent: isAlwaysCurrent });
  await waitUntil(() => host.starts.length > 0);
  host.startResponse = FakeResponse.NotSent;
  const returned = await results;
  await waitUntil(() => returned.length + lateResults.length > 0);
  assert.deepEqual(
    [...returned, ...lateResults].map(({ refusal }) => refusal),
    [StartRefusal.Unreachable],
  );
  assert.equal(host.stops.length, 1);
});

test('reports no failure for a start without a response whose run is in the list of ends', async () => {
  const { executor, session, host, lateResults, waitUntil } = await createExecutor();
  host.startResponse = FakeResponse.Lost;
  await executor.execute({ orders: ORDERS, session, isCurrent: isAlwaysCurrent });
  await waitUntil(() => session.runs.unacknowledged.length > 0);
  await sleep(50);
  assert.deepEqual(lateResults, []);
});

test('passes no start to the VM once the session of its order has ended', async () => {
  const { executor, session, host, lateResults, waitUntil } = await createExecutor();
  host.startResponse = FakeResponse.Dropped;
  const tasks = Array.from({ length: CONCURRENT_STARTS + 1 }, (_, index) => `a.0.0.${index}`);
  const starts = tasks.flatMap((taskId) => ORDERS.starts.map((order) => ({ ...order, taskId })));
  let isCurrent = true;
  const results = executor.execute({
    orders: { ...ORDERS, starts },
    session,
    isCurrent: () => isCurrent,
  });
  await waitUntil(() => host.starts.length >= CONCURRENT_STARTS);
  isCurrent = false;
  const returned = await results;
  const waiting = tasks[CONCURRENT_STARTS];
  const findAnswer = (): RunAnswer | undefined =>
    [...returned, ...lateResults].find(({ taskId }) => taskId === waiting);
  await waitUntil(() => findAnswer() !== undefined);
  assert.equal(findAnswer()?.refusal, StartRefusal.NoSession);
  const started = host.starts.map(({ taskId }) => taskId);
  assert.equal(started.includes(waiting ?? ''), false);
});

test('refuses a start without a lease', async () => {
  const { executor, session, host } = await createExecutor();
  session.lease.untilVmMs = null;
  assert.equal(
    (await executor.execute({ orders: ORDERS, session, isCurrent: isAlwaysCurrent }))[0]?.refusal,
    StartRefusal.NoSession,
  );
  assert.equal(host.starts.length, 0);
});

const REPEATED_ORDERS: OrdersParameters = {
  ...ORDERS,
  starts: ORDERS.starts.map((order) => ({ ...order, attempt: 2, mayHaveReachedVm: true })),
};

test('reports the refusal of a first order at once', async () => {
  const { executor, session, events, host } = await createExecutor();
  host.startRefusal = StartRefusal.NoRoom;
  assert.equal(
    (await executor.execute({ orders: ORDERS, session, isCurrent: isAlwaysCurrent }))[0]?.refusal,
    StartRefusal.NoRoom,
  );
  assert.equal(host.stops.length, 0);
  assert.deepEqual(events.fieldsOf('start-refused'), [
    { task: 'a.0.0.0', run: 1, refusal: StartRefusal.NoRoom, mayHaveBegun: false },
  ]);
});

for (const refusal of Object.values(StartRefusal)) {
  test(`keeps a listed run whose repeated order is refused: ${refusal}`, async () => {
    const { executor, session, events, host, lateResults } = await createExecutor();
    host.running.push({ taskId: 'a.0.0.0', run: 1, checkpoint: '', percent: 0, reading: 0 });
    host.startRefusal = refusal;
    assert.deepEqual(
      await executor.execute({ orders: REPEATED_ORDERS, session, isCurrent: isAlwaysCurrent }),
      [],
    );
    assert.deepEqual(lateResults, []);
    assert.equal(session.runs.isListed({ taskId: 'a.0.0.0', run: 1 }), true);
    assert.deepEqual(events.fieldsOf('start-refused'), []);
  });
}

test('rules out a late start before it reports the refusal of a repeated order', async () => {
  const { executor, session, events, host } = await createExecutor();
  host.startRefusal = StartRefusal.NoRoom;
  const results = await executor.execute({
    orders: REPEATED_ORDERS,
    session,
    isCurrent: isAlwaysCurrent,
  });
  assert.equal(results[0]?.refusal, StartRefusal.NoRoom);
  assert.deepEqual(host.stops, [{ instanceId: 'instance-1', epoch: 1, taskId: 'a.0.0.0', run: 1 }]);
  assert.deepEqual(events.fieldsOf('start-refused'), [
    { task: 'a.0.0.0', run: 1, refusal: StartRefusal.NoRoom, mayHaveBegun: true },
  ]);
});

test('rules out a late start when the lease ends after a start without a response', async () => {
  const { executor, session, host, lateResults, waitUntil } = await createExecutor();
  host.startResponse = FakeResponse.Dropped;
  const results = executor.execute({ orders: ORDERS, session, isCurrent: isAlwaysCurrent });
  await waitUntil(() => host.starts.length > 0);
  session.lease.untilVmMs = null;
  await results;
  await waitUntil(() => host.stops.length > 0);
  assert.deepEqual(
    [...(await results), ...lateResults].map((result) => result.refusal),
    [StartRefusal.NoSession],
  );
});

test('reports nothing when the VM follows a newer scheduler and refuses stop and list', async () => {
  const { executor, session, host, lateResults } = await createExecutor();
  await host.hold({
    instanceId: 'instance-1',
    epoch: 2,
    leaseUntilVmMs: null,
    settledThrough: 0,
    waitMs: 0,
  });
  host.startRefusal = StartRefusal.Fenced;
  assert.deepEqual(
    await executor.execute({ orders: REPEATED_ORDERS, session, isCurrent: isAlwaysCurrent }),
    [],
  );
  assert.deepEqual(lateResults, []);
});

const STOPPED_RUN = { taskId: 'a.0.0.0', run: 1 };
const STOP_ORDERS: OrdersParameters = {
  ...ORDERS,
  starts: [],
  stops: [{ ...STOPPED_RUN, attempt: 2 }],
};

test('reports a stopped run whose start never arrived, since no list shows its end', async () => {
  const { executor, session, host, lateResults, waitUntil } = await createExecutor();
  await executor.execute({ orders: STOP_ORDERS, session, isCurrent: isAlwaysCurrent });
  await waitUntil(() => lateResults.length > 0);
  assert.deepEqual(lateResults, [{ ...STOPPED_RUN, attempt: 2, refusal: StartRefusal.Superseded }]);
  assert.equal(host.stops.length, 1);
});

test('leaves the end of a stopped run to the lists of the VM, although its start got no response', async () => {
  const { executor, session, host, lateResults, waitUntil } = await createExecutor();
  host.running.push({ ...STOPPED_RUN, checkpoint: '', percent: 0, reading: 0 });
  await executor.execute({ orders: STOP_ORDERS, session, isCurrent: isAlwaysCurrent });
  await waitUntil(() => session.runs.unacknowledged.length > 0);
  await sleep(50);
  assert.deepEqual(lateResults, []);
});

test('repeats a stop until the lease of a VM that does not answer has expired, and logs it once', async () => {
  const { executor, session, events, host, waitUntil } = await createExecutor();
  host.stopResponse = FakeResponse.Dropped;
  const orders = { ...ORDERS, starts: [], stops: [{ taskId: 'a.0.0.0', run: 1, attempt: 1 }] };
  await executor.execute({ orders, session, isCurrent: isAlwaysCurrent });
  await waitUntil(() => host.stops.length >= 3);
  host.vmClockMs = 30_000;
  await session.refresh();
  assert.ok(session.lease.isExpired);
  await sleep(STOP_PAUSE_MAXIMUM_MS);
  const count = host.stops.length;
  await sleep(STOP_PAUSE_MAXIMUM_MS);
  session.stop();
  assert.equal(host.stops.length, count);
  assert.equal(events.fieldsOf('stop-unanswered').length, 1);
});
