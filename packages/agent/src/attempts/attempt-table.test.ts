import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@figjunction/time';
import { AttemptState, OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { AttemptResult } from '@figjunction/types';
import { AttemptTable, RECORD_RETENTION_MS, RESULT_RETENTION_MS } from './attempt-table.js';
import { createNotRunResult } from './target-call.js';

const CANCELLED = createNotRunResult(OutcomeCode.AttemptCancelled, 'cancelled');

function attemptId(sequence: number, entryIncarnation = 'entry') {
  return { entryIncarnation, sequence };
}

function createCompletedResult(body = 'body'): AttemptResult {
  const bodyBase64 = Buffer.from(body).toString('base64');
  return {
    ...CANCELLED,
    outcome: RequestOutcome.Completed,
    code: OutcomeCode.Ok,
    status: 200,
    bodyBase64,
  };
}

async function runToCompletion(
  table: AttemptTable,
  sequence: number,
  body?: string,
): Promise<void> {
  await table.start(attemptId(sequence), () => Promise.resolve(createCompletedResult(body)));
}

test('an attempt that arrives after its cancellation gets the refusal', async () => {
  const table = new AttemptTable({ clock: new ManualClock() });
  assert.equal(table.cancel(attemptId(1), CANCELLED).started, false);
  assert.deepEqual(await table.findResult(attemptId(1)), CANCELLED);
});

test('a running attempt cannot be cancelled, and an ended one returns its result', async () => {
  const table = new AttemptTable({ clock: new ManualClock() });
  let resolveRun: (result: AttemptResult) => void = () => {};
  const running = table.start(
    attemptId(1),
    () =>
      new Promise((resolve) => {
        resolveRun = resolve;
      }),
  );
  assert.deepEqual(table.cancel(attemptId(1), CANCELLED).started, true);
  assert.equal(table.inquire(attemptId(1)).state, AttemptState.Running);
  resolveRun(createCompletedResult());
  await running;
  assert.equal(table.inquire(attemptId(1)).result?.status, 200);
  assert.equal(table.cancel(attemptId(1), CANCELLED).result?.status, 200);
});

// Without the low-water mark, removing the record of a cancelled attempt would let the attempt start.
test('an attempt whose record was removed is refused and never reported as unknown', async () => {
  const clock = new ManualClock();
  const table = new AttemptTable({ clock });
  table.cancel(attemptId(5), CANCELLED);
  clock.advance(RECORD_RETENTION_MS);
  table.sweep();
  for (const sequence of [3, 5]) {
    assert.equal(table.isExpired(attemptId(sequence)), true);
    assert.equal(table.inquire(attemptId(sequence)).state, AttemptState.Ended);
    assert.equal(table.cancel(attemptId(sequence), CANCELLED).started, true);
  }
  assert.equal(table.isExpired(attemptId(6)), false);
  assert.equal(table.isExpired(attemptId(5, 'other-entry')), false);
});

test('the low-water mark does not affect attempts that still run', async () => {
  const clock = new ManualClock();
  const table = new AttemptTable({ clock });
  table.start(attemptId(1), () => new Promise(() => {})).catch(() => {});
  await runToCompletion(table, 2);
  clock.advance(RECORD_RETENTION_MS);
  table.sweep();
  assert.equal(table.inquire(attemptId(1)).state, AttemptState.Running);
});

test('results are kept for 30 s, then only the outcome', async () => {
  const clock = new ManualClock();
  const table = new AttemptTable({ clock });
  await runToCompletion(table, 1);
  clock.advance(RESULT_RETENTION_MS);
  table.sweep();
  const { result } = table.inquire(attemptId(1));
  assert.equal(result?.bodyBase64, null);
  assert.equal(result?.outcome, RequestOutcome.Completed);
  assert.equal(result?.code, OutcomeCode.AnswerNotKept);
});

test('the bytes of kept results are bounded and the oldest are removed first', async () => {
  const table = new AttemptTable({ clock: new ManualClock(), resultBytesMaximum: 1_000 });
  for (let sequence = 1; sequence <= 4; sequence += 1) {
    await runToCompletion(table, sequence, 'x'.repeat(300));
  }
  const kept = [1, 2, 3, 4].filter(
    (sequence) => table.inquire(attemptId(sequence)).result?.bodyBase64 !== null,
  );
  assert.deepEqual(kept, [3, 4]);
});

test('the number of records is bounded by raising the low-water mark early', () => {
  const table = new AttemptTable({ clock: new ManualClock(), recordsMaximum: 10 });
  for (let sequence = 1; sequence <= 15; sequence += 1) {
    table.cancel(attemptId(sequence), CANCELLED);
  }
  assert.equal(table.isExpired(attemptId(5)), true);
  assert.equal(table.inquire(attemptId(6)).state, AttemptState.Cancelled);
});
