/**
 * Guards against wrong sizes learnt from measurements near a change of the throttle. Scaled by the wrong
 * throttle, the use of a task looks many times smaller or larger than it is.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { TaskType } from '@figjunction/types';
import type { Resources } from '@figjunction/types';
import { ONE_CORE } from './fake-entry.test.js';
import { createRuntime } from './runtime-fixture.test.js';
import { TaskPhase } from './task-table.js';
import { controlThrottles } from './throttle-control.js';
import { UsagePoller } from './usage-poller.js';

const HALF: Resources = { ...ONE_CORE, processorMillicores: 500 };

async function createThrottled() {
  const runtime = await createRuntime();
  const { context } = runtime;
  context.incarnation = 1;
  context.leaseDeadline = Number.POSITIVE_INFINITY;
  const entry = runtime.tasks.add({
    taskId: 'a',
    attempt: 1,
    type: TaskType.Batch,
    kind: 'reprint',
    declared: ONE_CORE,
    phase: TaskPhase.Running,
    guardThrottle: 0.5,
  });
  const poller = new UsagePoller(runtime);
  const measure = async (measuredAtHostMs: number, used: Resources): Promise<void> => {
    const task = { taskId: 'a', kind: 'reprint', used, slowdown: null };
    context.worker.readUsage = async () => ({ measuredAtHostMs, tasks: [task] });
    await poller.poll();
  };
  return { runtime, context, entry, measure };
}

describe('a measurement of a throttled task', () => {
  it('is ignored after a change whose response was lost', async () => {
    const { runtime, context, entry, measure } = await createThrottled();
    context.worker.throttle = () => Promise.reject(new Error('the response is lost'));
    await controlThrottles(runtime);
    await measure(context.clock.now(), HALF);
    assert.equal(entry.measured, null);
    context.worker.throttle = async () => {};
    await controlThrottles(runtime);
    await measure(context.clock.now(), HALF);
    assert.deepEqual(entry.measured, ONE_CORE);
  });

  it('is ignored while a change is in progress', async () => {
    const { runtime, context, entry, measure } = await createThrottled();
    let between = 0;
    context.worker.throttle = async () => {
      between = context.clock.now();
      while (context.clock.now() <= between) {
        await Promise.resolve();
      }
    };
    await controlThrottles(runtime);
    await measure(between, HALF);
    assert.equal(entry.measured, null);
  });

  it('is scaled by the throttle before a later change', async () => {
    const { runtime, context, entry, measure } = await createThrottled();
    context.worker.throttle = async () => {};
    await controlThrottles(runtime);
    const [change] = entry.throttleChanges;
    await measure((change?.sentAt ?? 0) - 1, ONE_CORE);
    assert.deepEqual(entry.measured, ONE_CORE);
  });
});
