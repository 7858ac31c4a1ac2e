/**
 * Guards against tasks of a cancelled job that start because their rows are stored after the cancellation.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { cancelRows } from './cancellation.js';
import { readRowsOfJob } from './job-reader.js';
import { TaskFixture, submitTasks } from './testing/task-fixture.test.js';

const CAPACITY = { processorMillicores: 4_000, memoryMegabytes: 4_096, accelerators: 0 };
const STEP_MS = 1_000;

/** An entry whose store keeps the row of task `b` back until it is released. */
async function createEntry() {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent({ agentId: 'vm-1', capacity: CAPACITY });
  const { store } = entry.tasks;
  const write = store.write.bind(store);
  const storeRowsBefore = (storeRow: () => Promise<void>): void => {
    store.write = async (key, ...rest) => {
      if (key.endsWith('.b')) {
        await storeRow();
      }
      return write(key, ...rest);
    };
  };
  const cancel = async (): Promise<void> => {
    const rows = await readRowsOfJob(entry.tasks, 'kitchen', 'job-1');
    const cancelled = cancelRows(entry.tasks, rows, 'cancelled by a test');
    await fixture.run(STEP_MS);
    assert.equal(await cancelled, 1);
  };
  return { fixture, entry, agent, storeRowsBefore, cancel };
}

test('starts no task of a job that was cancelled half stored when it is submitted again', async () => {
  const { fixture, entry, agent, storeRowsBefore, cancel } = await createEntry();
  let isInterrupted = true;
  storeRowsBefore(() =>
    isInterrupted ? Promise.reject(new Error('interrupted')) : Promise.resolve(),
  );
  await assert.rejects(submitTasks(fixture, entry, ['a', 'b']));
  isInterrupted = false;
  await cancel();
  const startedBefore = agent.started.length;
  await submitTasks(fixture, entry, ['a', 'b']);
  await fixture.run(3 * STEP_MS);
  assert.deepEqual(agent.started.slice(startedBefore), []);
});

test('starts no task of a job that is cancelled while its rows are being inserted', async () => {
  const { fixture, entry, agent, storeRowsBefore, cancel } = await createEntry();
  let release = (): void => {};
  const released = new Promise<void>((resolve) => {
    release = resolve;
  });
  storeRowsBefore(() => released);
  const submission = submitTasks(fixture, entry, ['a', 'b']);
  await fixture.run(STEP_MS);
  await cancel();
  const startedBefore = agent.started.length;
  release();
  await fixture.run(3 * STEP_MS);
  await submission;
  assert.deepEqual(agent.started.slice(startedBefore), []);
});
