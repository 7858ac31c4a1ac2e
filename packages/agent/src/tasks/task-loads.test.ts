/**
 * Guards against trusting a size that was not measured. An entry's estimate from one or two tasks looks like
 * a learnt one, but may be five times too small.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { recordUsage } from '@figjunction/decisions';
import { TaskType } from '@figjunction/types';
import { ONE_CORE } from './fake-entry.test.js';
import { computeLoad, findCapacityRefusal } from './task-loads.js';
import { createRuntime } from './runtime-fixture.test.js';
import { TaskPhase } from './task-table.js';

function reserved(processorMillicores: number, isSizeKnown: boolean) {
  const declared = { ...ONE_CORE, processorMillicores };
  return { type: TaskType.Batch, kind: 'reprint', declared, isSizeKnown, measured: null };
}

describe('the load of a task', () => {
  it('treats every size that the entry has not measured as unknown', async () => {
    const runtime = await createRuntime();
    const used = { ...ONE_CORE, processorMillicores: 5_000 };
    recordUsage(runtime.estimates, { taskId: 'a', kind: 'reprint', used, measuredAt: 1 });
    for (const processors of [1_000, 1_500, 2_222]) {
      const load = computeLoad(runtime, reserved(processors, false));
      assert.equal(load.isSizeUnknown, true);
      assert.equal(load.estimated.processorMillicores, 5_000);
    }
  });

  it('uses a size that the entry has measured', async () => {
    const runtime = await createRuntime();
    const load = computeLoad(runtime, reserved(1_000, true));
    assert.equal(load.isSizeUnknown, false);
    assert.equal(load.estimated.processorMillicores, 1_000);
  });

  it('uses a smaller size from the entry once this agent knows the kind', async () => {
    const runtime = await createRuntime();
    const used = { ...ONE_CORE, processorMillicores: 200 };
    ['a', 'b', 'c', 'd', 'e', 'f'].forEach((taskId) =>
      recordUsage(runtime.estimates, { taskId, kind: 'reprint', used, measuredAt: 1 }),
    );
    assert.equal(computeLoad(runtime, reserved(200, true)).estimated.processorMillicores, 200);
    assert.equal(computeLoad(runtime, reserved(1_000, false)).estimated.processorMillicores, 1_000);
  });

  it('uses a larger size from the entry while this agent has few measurements', async () => {
    const runtime = await createRuntime();
    for (const taskId of ['a', 'b', 'c', 'd']) {
      assert.equal(
        computeLoad(runtime, reserved(5_000, true)).estimated.processorMillicores,
        5_000,
      );
      recordUsage(runtime.estimates, { taskId, kind: 'reprint', used: ONE_CORE, measuredAt: 1 });
    }
    assert.equal(computeLoad(runtime, reserved(5_000, true)).estimated.processorMillicores, 5_000);
  });

  it('is never smaller than this agent has measured, whatever the entry has measured', async () => {
    const runtime = await createRuntime();
    const used = { ...ONE_CORE, processorMillicores: 4_000 };
    recordUsage(runtime.estimates, { taskId: 'a', kind: 'reprint', used, measuredAt: 1 });
    assert.equal(computeLoad(runtime, reserved(200, true)).estimated.processorMillicores, 4_000);
  });

  it('admits tasks of unknown size only while all fit at five times their size', async () => {
    const runtime = await createRuntime();
    const admitted = ['a', 'b', 'c', 'd', 'e'].filter((taskId) => {
      const task = reserved(1_000, false);
      const isAdmitted = findCapacityRefusal(runtime, task) === null;
      if (isAdmitted) {
        runtime.tasks.add({ taskId, attempt: 1, phase: TaskPhase.Reserved, ...task });
      }
      return isAdmitted;
    });
    assert.deepEqual(admitted, ['a', 'b', 'c']);
  });
});
