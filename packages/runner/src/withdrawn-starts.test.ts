/**
 * Guards against starts that reach the VM after the scheduler has withdrawn them. While the VM leaves orders without
 * a response, starts wait in the runner or are retried there; their jobs may be cancelled meanwhile, and their stops
 * get no response either.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sleep } from '@figjunction/time';
import { StartRefusal, VmState } from '@figjunction/types';
import type { OrdersParameters } from '@figjunction/types';
import { FakeResponse } from './fake-vm-host.js';
import {
  CONCURRENT_STARTS,
  ORDERS,
  createExecutor,
  isAlwaysCurrent,
} from './order-executor-fixture.js';

const WAITING_STARTS = 4;
/** Longer than a start order stays valid without a repetition. */
const ORDER_EXPIRY_MS = 2_100;

function createStarts(count: number): OrdersParameters['starts'] {
  return Array.from({ length: count }, (_, index) =>
    ORDERS.starts.map((order) => ({ ...order, taskId: `a.0.0.${index}` })),
  ).flat();
}

function createStops(starts: OrdersParameters['starts']): OrdersParameters {
  const stops = starts.map(({ taskId, run, attempt }) => ({ taskId, run, attempt }));
  return { ...ORDERS, starts: [], stops };
}

/** An executor whose VM leaves orders without a response until `answer` is called. */
async function createSilentExecutor() {
  const created = await createExecutor();
  const { executor, session, host, lateResults, waitUntil } = created;
  host.startResponse = FakeResponse.Dropped;
  host.stopResponse = FakeResponse.Dropped;
  const execute = (orders: OrdersParameters) =>
    executor.execute({ orders, session, isCurrent: isAlwaysCurrent });
  const answer = (): void => {
    host.startResponse = FakeResponse.Normal;
    host.stopResponse = FakeResponse.Normal;
  };
  const callsOf = (calls: { taskId: string }[], taskId: string): number =>
    calls.filter((call) => call.taskId === taskId).length;
  const waitForResults = (starts: OrdersParameters['starts']): Promise<void> =>
    waitUntil(() =>
      starts.every(({ taskId }) => lateResults.some((result) => result.taskId === taskId)),
    );
  return { ...created, execute, answer, callsOf, waitForResults };
}

test('starts no run that waits for a place once its stop is ordered', async () => {
  const { host, waitUntil, execute, answer, callsOf, waitForResults } =
    await createSilentExecutor();
  const starts = createStarts(CONCURRENT_STARTS + WAITING_STARTS);
  const waiting = starts.slice(CONCURRENT_STARTS);
  await execute({ ...ORDERS, starts });
  // The starts before them give up and occupy their places until their stops get a response.
  await waitUntil(() => host.stops.length >= CONCURRENT_STARTS);
  await execute(createStops(starts));
  await waitUntil(() => waiting.every(({ taskId }) => callsOf(host.stops, taskId) > 0));
  answer();
  await waitForResults(waiting);
  assert.deepEqual(
    waiting.filter(({ taskId }) => callsOf(host.starts, taskId) > 0),
    [],
  );
});

test('repeats no start without a response once the stop of its run is ordered', async () => {
  const { host, waitUntil, execute, answer, callsOf, waitForResults } =
    await createSilentExecutor();
  const [start] = createStarts(1);
  assert.ok(start !== undefined);
  await execute({ ...ORDERS, starts: [start] });
  await waitUntil(() => host.starts.length > 1);
  await execute(createStops([start]));
  const callCount = callsOf(host.starts, start.taskId);
  await waitUntil(() => host.stops.length > 2);
  answer();
  await waitForResults([start]);
  assert.equal(callsOf(host.starts, start.taskId), callCount);
});

test('starts no run whose start order arrives after its stop order', async () => {
  const { host, execute, answer, waitForResults } = await createSilentExecutor();
  const starts = createStarts(1);
  await execute(createStops(starts));
  await execute({ ...ORDERS, starts });
  answer();
  await waitForResults(starts);
  assert.deepEqual(host.starts, []);
});

test('starts no run whose start order arrives after its stop was carried out', async () => {
  const { host, execute, answer, waitForResults } = await createSilentExecutor();
  const starts = createStarts(1);
  answer();
  await execute(createStops(starts));
  await waitForResults(starts);
  assert.deepEqual(await execute({ ...ORDERS, starts }), []);
  assert.deepEqual(host.starts, []);
});

test('starts no run that has waited until its order is out of date, and answers for it', async () => {
  const { host, lateResults, execute, answer, callsOf, waitForResults } =
    await createSilentExecutor();
  const starts = createStarts(CONCURRENT_STARTS + 2);
  const [repeated, expired] = starts.slice(CONCURRENT_STARTS);
  assert.ok(repeated !== undefined && expired !== undefined);
  await execute({ ...ORDERS, starts });
  await sleep(ORDER_EXPIRY_MS / 2);
  const repetition = { ...repeated, attempt: 2, mayHaveReachedVm: true };
  await execute({ ...ORDERS, starts: [repetition] });
  await sleep(ORDER_EXPIRY_MS / 2);
  answer();
  await waitForResults([repeated, expired]);
  assert.equal(callsOf(host.starts, repeated.taskId), 1);
  assert.equal(callsOf(host.starts, expired.taskId), 0);
  const result = lateResults.find(({ taskId }) => taskId === expired.taskId);
  assert.equal(result?.refusal, StartRefusal.OrderExpired);
});

test('starts no run that has waited until its VM drains, and answers for it', async () => {
  const { host, session, lateResults, execute, answer, callsOf, waitForResults } =
    await createSilentExecutor();
  const starts = createStarts(CONCURRENT_STARTS + 1);
  const waiting = starts.slice(CONCURRENT_STARTS);
  await execute({ ...ORDERS, starts });
  session.announcement = { ...session.announcement, state: VmState.Draining };
  answer();
  await waitForResults(waiting);
  assert.equal(callsOf(host.starts, waiting[0]?.taskId ?? ''), 0);
  const result = lateResults.find(({ taskId }) => taskId === waiting[0]?.taskId);
  assert.equal(result?.refusal, StartRefusal.VmDraining);
});
