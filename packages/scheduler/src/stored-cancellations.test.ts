/**
 * Guards against a cancellation that is removed before the row of its job can no longer appear, and against
 * cancellations without a job that stay in the store for good.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { addJob, createState, createStep } from '@figjunction/scheduling/cell-fixture';
import { ManualClock, sleep } from '@figjunction/time';
import type { JobRow } from '@figjunction/types';
import { CellCollection, jobPartition } from './cell-collections.js';
import { createCellContext } from './cell-context-fixture.js';
import { loadCell } from './cell-loader.js';
import { JobIntake } from './job-intake.js';
import { JobRemovals } from './job-removals.js';
import { MemoryFeedStore, StoreFault } from './memory-feed-store.js';

const JOB_ID = '00000000000000a1';
const START_MS = 1_000;
const RETENTION_MS = 60_000;
const AFTER_RETENTION_MS = START_MS + RETENTION_MS + 1;

const { policy, specification } = addJob(createState(), { steps: [createStep()] });
const JOB_ROW: JobRow = { policy, specification, submittedAtStoreMs: 0 };

function createCell(store = new MemoryFeedStore(new ManualClock(START_MS))) {
  const state = createState();
  const context = createCellContext(new ManualClock(START_MS), {
    store,
    finishedJobRetentionMs: RETENTION_MS,
  });
  const intake = new JobIntake({ context, state, epoch: 1 });
  const watch = async (collection: CellCollection) => {
    const { rows } = await store.watch({ collection, afterVersion: 0, waitMs: 0 });
    return rows ?? [];
  };
  return {
    store,
    state,
    context,
    intake,
    deliverCancellations: async (now: number) =>
      intake.cancelJobs(await watch(CellCollection.Cancellations), now),
    deliverJobs: async (now: number) =>
      intake.addJobs(
        (await watch(CellCollection.Jobs)).map((row) => ({ ...row, value: row.value as JobRow })),
        false,
        now,
      ),
    removeUnmatched: async (now: number) => {
      intake.removeUnmatchedCancellations(now);
      await sleep(1);
    },
  };
}

function put(store: MemoryFeedStore, collection: CellCollection, value: unknown) {
  const writes = [{ collection, key: JOB_ID, value }];
  return store.write({ partition: jobPartition(JOB_ID), writes });
}

async function isCancellationStored(store: MemoryFeedStore): Promise<boolean> {
  const collection = CellCollection.Cancellations;
  const { rows } = await store.readRange({ collection, partition: jobPartition(JOB_ID) });
  return rows.length > 0;
}

test('starts no task of a job whose cancellation was read long before its row', async () => {
  const { store, state, deliverCancellations, deliverJobs, removeUnmatched } = createCell();
  await put(store, CellCollection.Cancellations, {});
  await deliverCancellations(START_MS);
  await removeUnmatched(START_MS + RETENTION_MS);
  await put(store, CellCollection.Jobs, JOB_ROW);
  await deliverJobs(START_MS + RETENTION_MS);
  assert.equal(state.jobs.get(JOB_ID)?.cancelled, true);
  assert.equal(state.active.size, 0);
});

test('keeps a cancellation without a job for the retention time and removes it then', async () => {
  const { store, deliverCancellations, removeUnmatched } = createCell();
  await put(store, CellCollection.Cancellations, {});
  await deliverCancellations(START_MS);
  await removeUnmatched(START_MS + RETENTION_MS);
  assert.equal(await isCancellationStored(store), true);
  await removeUnmatched(AFTER_RETENTION_MS);
  assert.equal(await isCancellationStored(store), false);
});

test('removes a cancellation without a job that an earlier scheduler has left', async () => {
  const { store, context, intake, removeUnmatched } = createCell();
  await put(store, CellCollection.Cancellations, {});
  const loaded = await loadCell(context);
  intake.cancelJobs(loaded.cancellations, START_MS);
  await removeUnmatched(AFTER_RETENTION_MS);
  assert.equal(await isCancellationStored(store), false);
});

test('keeps a cancellation while its job is stored and not read yet', async () => {
  const { store, state, deliverCancellations, deliverJobs, removeUnmatched } = createCell();
  await put(store, CellCollection.Cancellations, {});
  await deliverCancellations(START_MS);
  await put(store, CellCollection.Jobs, JOB_ROW);
  await removeUnmatched(AFTER_RETENTION_MS);
  assert.equal(await isCancellationStored(store), true);
  await deliverJobs(AFTER_RETENTION_MS);
  assert.equal(state.jobs.get(JOB_ID)?.cancelled, true);
});

test('keeps the cancellation of a job that is stored before a late removal takes effect', async () => {
  const { store, deliverCancellations, removeUnmatched } = createCell();
  await put(store, CellCollection.Cancellations, {});
  await deliverCancellations(START_MS);
  store.fault = StoreFault.DelaysWrites;
  await removeUnmatched(AFTER_RETENTION_MS);
  store.fault = StoreFault.None;
  await put(store, CellCollection.Jobs, JOB_ROW);
  store.applyDelayed();
  assert.equal(await isCancellationStored(store), true);
});

test('keeps a cancellation that has just been repeated', async () => {
  const { store, deliverCancellations, removeUnmatched } = createCell();
  await put(store, CellCollection.Cancellations, {});
  await deliverCancellations(START_MS);
  await put(store, CellCollection.Cancellations, {});
  await removeUnmatched(AFTER_RETENTION_MS);
  assert.equal(await isCancellationStored(store), true);
});

test('removes a cancellation that was stored while its job was being removed', async () => {
  const { store, state, context, deliverCancellations, deliverJobs, removeUnmatched } =
    createCell();
  await put(store, CellCollection.Jobs, JOB_ROW);
  await deliverJobs(START_MS);
  const job = state.jobs.get(JOB_ID);
  assert.ok(job !== undefined);
  const removals = new JobRemovals(context, state);
  removals.begin(job);
  await sleep(1);
  await put(store, CellCollection.Cancellations, {});
  await deliverCancellations(START_MS);
  removals.recordRemoved(removals.rows);
  assert.equal(state.jobs.size, 0);
  await removeUnmatched(AFTER_RETENTION_MS);
  assert.equal(await isCancellationStored(store), false);
});

test('asks the store once to remove a cancellation that is gone already', async () => {
  const { store, deliverCancellations, removeUnmatched } = createCell();
  await put(store, CellCollection.Cancellations, {});
  await deliverCancellations(START_MS);
  const row = { collection: CellCollection.Cancellations, key: JOB_ID };
  await store.write({ partition: jobPartition(JOB_ID), removals: [row] });
  await removeUnmatched(AFTER_RETENTION_MS);
  store.beforeWrite = () => Promise.reject(new Error('a second removal'));
  await removeUnmatched(AFTER_RETENTION_MS + RETENTION_MS + 1);
  assert.notEqual(store.beforeWrite, null);
});
