/**
 * Guards against stops and late starts that the log of a runner does not tell: an operator has to see when a stop was
 * ordered, whether its run was starting then, and when the VM has answered it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakeResponse } from './fake-vm-host.js';
import { ORDERS, createExecutor, isAlwaysCurrent } from './order-executor-fixture.js';

const RUN = { taskId: 'a.0.0.0', run: 1 };
const STOP_ORDERS = { ...ORDERS, starts: [], stops: [{ ...RUN, attempt: 1 }] };

test('tells where a run was when its stop was ordered, and the calls until the VM answered', async () => {
  const { executor, session, events, host, waitUntil } = await createExecutor();
  host.startResponse = FakeResponse.Dropped;
  host.stopResponse = FakeResponse.Dropped;
  const execution = { session, isCurrent: isAlwaysCurrent };
  await executor.execute({ orders: ORDERS, ...execution });
  await executor.execute({ orders: STOP_ORDERS, ...execution });
  assert.deepEqual(events.fieldsOf('stop-ordered'), [
    { task: 'a.0.0.0', run: 1, epoch: 1, session: 1, isListed: false, isStarting: true },
  ]);
  await waitUntil(() => host.stops.length >= 2);
  host.stopResponse = FakeResponse.Normal;
  await waitUntil(() => events.fieldsOf('stop-answered').length > 0);
  const [answered] = events.fieldsOf('stop-answered');
  assert.equal(answered?.outcome, 'stopped');
  assert.ok(Number(answered?.calls) >= 3);
});

test('tells a run on the VM that the process has not ordered, and not one that it has', async () => {
  const { executor, session, events, host } = await createExecutor();
  await executor.execute({ orders: ORDERS, session, isCurrent: isAlwaysCurrent });
  host.running.push({ taskId: 'b.0.0.0', run: 2, checkpoint: '', percent: 0, reading: 0 });
  await session.refresh();
  await session.refresh();
  assert.deepEqual(
    events.fieldsOf('run-unexpected').map(({ task, run }) => ({ task, run })),
    [{ task: 'b.0.0.0', run: 2 }],
  );
});
