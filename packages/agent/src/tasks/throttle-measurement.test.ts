/**
 * Guards against sizes that are learnt wrong because a measurement was taken around a change of the
 * throttle: read with the wrong throttle, a use looks many times smaller or larger than it is.
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
  it('tells nothing after a change whose answer was lost', async () => {
    const { runtime, context, entry, measure } = await createThrottled();
    context.worker.throttle = () => Promise.reject(new Error('the answer is lost'));
    await controlThrottles(runtime);
    await measure(context.clock.now(), HALF);
    assert.equal(entry.measured, null);
    context.worker.throttle = async () => {};
    await controlThrottles(runtime);
    await measure(context.clock.now(), HALF);
    assert.deepEqual(entry.measured, ONE_CORE);
  });

  it('tells nothing while a change is under way', async () => {
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

  it('is read with the throttle before a change that came later', async () => {
    const { runtime, context, entry, measure } = await createThrottled();
    context.worker.throttle = async () => {};
    await controlThrottles(runtime);
    const [change] = entry.throttleChanges;
    await measure((change?.sentAt ?? 0) - 1, ONE_CORE);
    assert.deepEqual(entry.measured, ONE_CORE);
  });
});
