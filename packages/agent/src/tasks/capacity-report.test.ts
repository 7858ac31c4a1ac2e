/**
 * Guards against capacity that stays unused because entries learn of it one heartbeat (a second) late.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { TaskReportKind, TaskType } from '@figjunction/types';
import { ONE_CORE } from './fake-entry.test.js';
import { updateCapacityReport } from './capacity-report.js';
import { SIXTEEN_CORES, createRuntime } from './runtime-fixture.test.js';
import { endTask } from './task-ender.js';
import { TaskPhase } from './task-table.js';

async function createRunning() {
  const runtime = await createRuntime();
  const entry = runtime.tasks.add({
    taskId: 'a',
    attempt: 1,
    type: TaskType.Batch,
    kind: 'reprint',
    declared: ONE_CORE,
    isSizeKnown: true,
    phase: TaskPhase.Running,
  });
  updateCapacityReport(runtime);
  const { capacityReport: room } = runtime.context;
  room.announcedFree = room.free;
  runtime.context.isHeartbeatDue = false;
  return { runtime, entry, room };
}

describe('the free capacity in a heartbeat', () => {
  it('includes the capacity of a task that has just ended', async () => {
    const { runtime, entry, room } = await createRunning();
    assert.equal(room.free.processorMillicores, 15_000);
    endTask(runtime, entry, { kind: TaskReportKind.Completed, reason: null });
    assert.equal(runtime.context.isHeartbeatDue, true);
    assert.deepEqual(room.free, SIXTEEN_CORES);
  });

  it('is announced at once when a task proves smaller than its estimate', async () => {
    const { runtime, entry } = await createRunning();
    entry.declared = { ...ONE_CORE, processorMillicores: 200 };
    updateCapacityReport(runtime);
    assert.equal(runtime.context.isHeartbeatDue, true);
  });

  it('waits for the next heartbeat when it changes only by measurement noise', async () => {
    const { runtime, entry } = await createRunning();
    entry.declared = { ...ONE_CORE, processorMillicores: 970 };
    updateCapacityReport(runtime);
    entry.declared = { ...ONE_CORE, processorMillicores: 4_000 };
    updateCapacityReport(runtime);
    assert.equal(runtime.context.isHeartbeatDue, false);
  });
});
