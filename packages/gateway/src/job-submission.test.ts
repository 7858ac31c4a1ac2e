/**
 * Guards against a submission that is refused as never to run although another request for the same job has stored it,
 * or is about to. That is possible when its caller stops waiting and submits it again.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { QUEUE, SPECIFICATION, VIEW, createGatewayContext } from './gateway-context-fixture.js';
import { JobSubmission, SubmitOutcome } from './job-submission.js';

const JOB_ID = '00000000000000a1';
const OUTAGE_MS = 1_000;

function createGateway() {
  const context = createGatewayContext();
  const submission = new JobSubmission(context);
  return {
    context,
    submission,
    submit: () =>
      submission.submit({
        jobId: JOB_ID,
        queue: QUEUE,
        specification: SPECIFICATION,
        deadline: context.clock.now(),
        view: VIEW,
      }),
    makeStoreUnavailable: () => {
      context.storeHealth.recordFailure();
      context.storeHealth.recordFailure();
      context.clock.advance(OUTAGE_MS);
    },
  };
}

test('does not refuse a job while another request for it waits for the store', async () => {
  const { context, submission, submit, makeStoreUnavailable } = createGateway();
  let second = SubmitOutcome.Accepted;
  context.store.beforeWrite = async () => {
    makeStoreUnavailable();
    second = await submit();
    assert.equal(submission.outcomeWithoutAttempt(JOB_ID), SubmitOutcome.Unknown);
  };
  assert.equal(await submit(), SubmitOutcome.Accepted);
  assert.equal(second, SubmitOutcome.Unknown);
});

test('does not refuse a job that it has stored, when the store is unavailable afterwards', async () => {
  const { submission, submit, makeStoreUnavailable } = createGateway();
  assert.equal(await submit(), SubmitOutcome.Accepted);
  makeStoreUnavailable();
  assert.equal(await submit(), SubmitOutcome.Accepted);
  assert.equal(submission.outcomeWithoutAttempt(JOB_ID), SubmitOutcome.Accepted);
});

test('refuses a job that no request has tried to store', async () => {
  const { submit, makeStoreUnavailable } = createGateway();
  makeStoreUnavailable();
  assert.equal(await submit(), SubmitOutcome.Refused);
});
