/**
 * Guards against a runner that answers "not run" to an order whose run an earlier process of it has started:
 * the scheduler would start the task a second time elsewhere.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import { RpcClient } from '@figjunction/rpc';
import { OwnerDirectory } from '@figjunction/scheduler';
import { ManualClock, RandomSource } from '@figjunction/time';
import { RpcMethod, StartRefusal } from '@figjunction/types';
import type { OrdersParameters, OrdersResult } from '@figjunction/types';
import { FakeVmHost } from './fake-vm-host.js';
import { Runner } from './runner.js';

function createOrders(mayHaveReachedVm: boolean): OrdersParameters {
  const attributes = { fills: false, latencyTargetMs: null, pressure: 0 };
  return {
    epoch: 1,
    session: 5,
    instanceId: 'instance-1',
    settledThrough: 0,
    payloads: { a: 'print' },
    starts: [
      {
        taskId: 'a.0.0.0',
        run: 1,
        checkpoint: '',
        ticket: null,
        attempt: mayHaveReachedVm ? 2 : 1,
        mayHaveReachedVm,
        ...attributes,
      },
    ],
    stops: [],
  };
}

/** A runner process that has just started and has no session yet. */
function createRestartedRunner(events = new RecordingEventLog()): Runner {
  const clock = new ManualClock(1_000);
  return new Runner({
    host: new FakeVmHost(),
    clock,
    events,
    rpc: new RpcClient({ sharedToken: 'token' }),
    // Nothing is read from the store.
    directory: new OwnerDirectory({ store: {} as never, storeClock: {} as never, clock, events }),
    runnerId: 'vm-1',
    address: 'http://127.0.0.1:1',
    processId: 'process-2',
    random: new RandomSource(1),
    takeOver: () => Promise.resolve(),
  });
}

async function sendOrders(runner: Runner, orders: OrdersParameters): Promise<OrdersResult> {
  const handler = runner.handlers()[RpcMethod.RunnerOrders];
  assert.ok(handler !== undefined);
  return handler(orders, { headers: {} });
}

test('refuses a first order without a session', async () => {
  const events = new RecordingEventLog();
  const { answers } = await sendOrders(createRestartedRunner(events), createOrders(false));
  assert.deepEqual(answers, [
    { taskId: 'a.0.0.0', run: 1, attempt: 1, refusal: StartRefusal.NoSession },
  ]);
  assert.deepEqual(events.fieldsOf('start-refused'), [
    { task: 'a.0.0.0', run: 1, refusal: StartRefusal.NoSession, mayHaveBegun: false },
  ]);
});

test('leaves a repeated order without a session unanswered', async () => {
  const events = new RecordingEventLog();
  const { answers } = await sendOrders(createRestartedRunner(events), createOrders(true));
  assert.deepEqual(answers, []);
  assert.deepEqual(events.fieldsOf('start-refused'), []);
});
