/**
 * Guards against a start that is reported as failed although its run began, or may still begin.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SystemClock, sleep } from '@figjunction/time';
import { StartRefusal } from '@figjunction/types';
import type { OrdersParameters, RunAnswer } from '@figjunction/types';
import { FakeAnswer } from './fake-vm-host.js';
import { OrderDesk } from './order-executor.js';
import { createVmSession } from './vm-session-fixture.js';

const ORDERS: OrdersParameters = {
  epoch: 1,
  session: 1,
  instanceId: 'instance-1',
  settledThrough: 0,
  payloads: { a: 'print' },
  starts: [
    {
      taskId: 'a.0.0.0',
      run: 1,
      checkpoint: '',
      ticket: null,
      fills: false,
      latencyTargetMs: null,
      pressure: 0,
    },
  ],
  stops: [],
};

async function createDesk() {
  const clock = new SystemClock();
  const { host, events, session } = createVmSession(clock);
  const late: RunAnswer[] = [];
  await session.lookNow();
  session.lease.grantUntil(20_000);
  const desk = new OrderDesk({ host, clock, events, onLateAnswer: (item) => late.push(item) });
  const until = async (isReached: () => boolean): Promise<void> => {
    while (!isReached()) {
      await sleep(10);
    }
  };
  return { host, session, desk, late, until };
}

test('answers a start that the VM has confirmed', async () => {
  const { desk, session, host } = await createDesk();
  assert.deepEqual(await desk.carryOut(ORDERS, session), [
    { taskId: 'a.0.0.0', run: 1, refusal: null },
  ]);
  assert.equal(host.starts[0]?.payload, 'print');
  assert.equal(host.starts[0]?.leaseUntilVmMs, 20_000);
});

test('makes a start impossible by a stop before it reports that no answer came', async () => {
  const { desk, session, host, late, until } = await createDesk();
  host.startAnswer = FakeAnswer.Dropped;
  assert.deepEqual(await desk.carryOut(ORDERS, session), []);
  await until(() => late.length > 0);
  assert.deepEqual(late, [{ taskId: 'a.0.0.0', run: 1, refusal: StartRefusal.Unanswered }]);
  assert.equal(host.stops.length, 1);
});

test('leaves an unanswered start that did run to the list of ends', async () => {
  const { desk, session, host, late, until } = await createDesk();
  host.startAnswer = FakeAnswer.Lost;
  await desk.carryOut(ORDERS, session);
  await until(() => session.runs.unsettled.length > 0);
  await sleep(50);
  assert.deepEqual(late, []);
});

test('starts nothing without a lease', async () => {
  const { desk, session, host } = await createDesk();
  session.lease.untilVmMs = null;
  assert.equal((await desk.carryOut(ORDERS, session))[0]?.refusal, StartRefusal.NoSession);
  assert.equal(host.starts.length, 0);
});
