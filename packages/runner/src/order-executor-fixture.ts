/**
 * Test fixture: an executor of orders with a session of the VM, and a first order.
 */
import assert from 'node:assert/strict';
import { SystemClock, sleep } from '@figjunction/time';
import type { OrdersParameters, RunAnswer } from '@figjunction/types';
import { OrderExecutor } from './order-executor.js';
import { createVmSession } from './vm-session-fixture.js';

/** Further starts wait in the queue of the executor. */
export const CONCURRENT_STARTS = 8;

/** Longer than a start order is retried. */
const WAIT_TIMEOUT_MS = 5_000;

export const ORDERS: OrdersParameters = {
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
      attempt: 1,
      mayHaveReachedVm: false,
      fills: false,
      latencyTargetMs: null,
      pressure: 0,
    },
  ],
  stops: [],
};

export const isAlwaysCurrent = (): boolean => true;

export async function createExecutor() {
  const clock = new SystemClock();
  const { host, events, session } = createVmSession(clock);
  const lateResults: RunAnswer[] = [];
  await session.refresh();
  session.lease.grantUntil(20_000);
  const executor = new OrderExecutor({
    host,
    clock,
    events,
    onLateResult: (result) => lateResults.push(result),
  });
  const waitUntil = async (isMet: () => boolean): Promise<void> => {
    const deadline = clock.now() + WAIT_TIMEOUT_MS;
    while (!isMet() && clock.now() < deadline) {
      await sleep(10);
    }
    assert.ok(isMet(), 'the condition was not met in time');
  };
  return { host, session, events, executor, lateResults, waitUntil };
}
