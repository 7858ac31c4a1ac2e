/**
 * Guards against rows of cancelled jobs that stay in the store for good.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { addJob, createState, createStep } from '@figjunction/scheduling/cell-fixture';
import { ManualClock, sleep } from '@figjunction/time';
import type { JobRow } from '@figjunction/types';
import { CellCollection, jobPartition } from './cell-collections.js';
import { createCellContext } from './cell-context-fixture.js';
import { JobIntake } from './job-intake.js';
import { JobRemovals } from './job-removals.js';
import { MemoryFeedStore } from './memory-feed-store.js';

const JOB_ID = '00000000000000a1';
const START_MS = 1_000;
const partition = jobPartition(JOB_ID);

test('removes a scheduled job that was cancelled before its first occurrence was due', async () => {
  const clock = new ManualClock(START_MS);
  const store = new MemoryFeedStore(clock);
  const context = createCellContext(clock, { store });
  const state = createState();
  const intake = new JobIntake({ context, state, epoch: 1 });
  const { policy, specification } = addJob(createState(), { steps: [createStep()] });
  const value: JobRow = {
    policy,
    specification: { ...specification, occurrences: 3, firstDueWallMs: 1e9, intervalMs: 1_000 },
    submittedAtStoreMs: 0,
  };
  await store.write({
    partition,
    writes: [{ collection: CellCollection.Jobs, key: JOB_ID, value }],
  });
  intake.addJobs([{ partition, key: JOB_ID, value, version: 1 }], false, START_MS);
  intake.cancelJobs([{ partition, key: JOB_ID, value: {}, version: 2 }], START_MS);
  const job = state.jobs.get(JOB_ID);
  assert.equal(job?.occurrences.size, 0);
  assert.equal(job.finishedAt, START_MS);
  new JobRemovals(context, state).begin(job);
  await sleep(1);
  assert.equal(state.jobs.size, 0);
  const { rows } = await store.readRange({ collection: CellCollection.Jobs, partition });
  assert.deepEqual(rows, []);
});

test('removes a job although the rows of 40 that ended before it can never be removed', async () => {
  const clock = new ManualClock(START_MS);
  const store = new MemoryFeedStore(clock);
  const context = createCellContext(clock, { store });
  const state = createState();
  const write = store.write.bind(store);
  store.write = (transaction) =>
    transaction.removals?.some(({ key }) => key.startsWith('kept')) === true
      ? Promise.reject(new Error('refused'))
      : write(transaction);
  Array.from({ length: 40 }, (_, index) => addJob(state, { id: `kept-${index}`, steps: [] }));
  addJob(state, { id: JOB_ID, steps: [] }).occurrences.clear();
  const removals = new JobRemovals(context, state);
  for (let round = 0; round < 4; round += 1) {
    [...state.jobs.values()].forEach((job) => removals.begin(job));
    await sleep(1);
  }
  assert.equal(state.jobs.has(JOB_ID), false);
  assert.equal(state.jobs.size, 40);
});
