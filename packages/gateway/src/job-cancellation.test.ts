/**
 * Guards against a job that runs although its cancelling has been acknowledged, because its row is stored after
 * the cancellation was looked up.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CellCollection, jobPartition } from '@figjunction/scheduler';
import { MemoryFeedStore, StoreFault } from '@figjunction/scheduler/memory-feed-store';
import { QUEUE, SPECIFICATION, VIEW, createGatewayContext } from './gateway-context-fixture.js';
import { JobCancellation } from './job-cancellation.js';
import { JobQueries } from './job-queries.js';
import { JobSubmission, SubmitOutcome } from './job-submission.js';

const JOB_ID = '00000000000000a1';

function createGateway() {
  const context = createGatewayContext();
  const submission = new JobSubmission(context);
  const cancellation = new JobCancellation(context, new JobQueries(context));
  return {
    context,
    /** The caller's deadline leaves time for one write. */
    submit: () =>
      submission.submit({
        jobId: JOB_ID,
        queue: QUEUE,
        specification: SPECIFICATION,
        deadline: context.clock.now(),
        view: VIEW,
      }),
    cancel: () => cancellation.cancel(JOB_ID),
  };
}

async function hasRow(store: MemoryFeedStore, collection: CellCollection): Promise<boolean> {
  const { rows } = await store.readRange({ collection, partition: jobPartition(JOB_ID) });
  return rows.some(({ key }) => key === JOB_ID);
}

async function assertJobIsStoredAsCancelled(store: MemoryFeedStore): Promise<void> {
  assert.ok(await hasRow(store, CellCollection.Jobs), 'the job is not stored');
  assert.ok(await hasRow(store, CellCollection.Cancellations), 'nobody cancels the stored job');
}

test('keeps a cancellation for a job whose row the store writes later', async () => {
  const { context, submit, cancel } = createGateway();
  const { store } = context;
  store.fault = StoreFault.DelaysWrites;
  assert.equal(await submit(), SubmitOutcome.Unknown);
  store.fault = StoreFault.None;
  assert.equal(await cancel(), false);
  store.applyDelayed();
  await assertJobIsStoredAsCancelled(store);
});

test('keeps a cancellation that arrives while the row of the job is being written', async () => {
  const { context, submit, cancel } = createGateway();
  const { store } = context;
  store.beforeWrite = async () => {
    assert.equal(await cancel(), false);
  };
  assert.equal(await submit(), SubmitOutcome.Accepted);
  await assertJobIsStoredAsCancelled(store);
});

test('keeps a cancellation for a job that its caller submits again afterwards', async () => {
  const { context, submit, cancel } = createGateway();
  assert.equal(await cancel(), false);
  assert.equal(await submit(), SubmitOutcome.Accepted);
  await assertJobIsStoredAsCancelled(context.store);
});

test('cancels a job that is stored', async () => {
  const { context, submit, cancel } = createGateway();
  await submit();
  assert.equal(await cancel(), true);
  await assertJobIsStoredAsCancelled(context.store);
});

test('acknowledges a stored cancellation when the row of the job cannot be read', async () => {
  const { context, submit, cancel } = createGateway();
  const { store } = context;
  await submit();
  const readRange = store.readRange.bind(store);
  store.readRange = () => Promise.reject(new Error('no response from the store'));
  assert.equal(await cancel(), true);
  store.readRange = readRange;
  await assertJobIsStoredAsCancelled(store);
});

test('acknowledges no cancellation that the store may not have', async () => {
  const { context, cancel } = createGateway();
  context.store.fault = StoreFault.DelaysWrites;
  await assert.rejects(cancel());
});

test('shows no job for a cancellation alone', async () => {
  const { context, cancel } = createGateway();
  await cancel();
  assert.equal(await new JobQueries(context).getState(JOB_ID), null);
});
