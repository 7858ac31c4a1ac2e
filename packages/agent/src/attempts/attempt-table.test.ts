import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@figjunction/time';
import { AttemptState, OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { AttemptResult } from '@figjunction/types';
import { AttemptTable, RECORD_KEEP_MS, RESULT_KEEP_MS } from './attempt-table.js';
import { notRun } from './target-call.js';

const CANCELLED = notRun(OutcomeCode.AttemptCancelled, 'cancelled');

function attempt(sequence: number, entryIncarnation = 'entry') {
  return { entryIncarnation, sequence };
}

function completed(body = 'body'): AttemptResult {
  const bodyBase64 = Buffer.from(body).toString('base64');
  return {
    ...CANCELLED,
    outcome: RequestOutcome.Completed,
    code: OutcomeCode.Ok,
    status: 200,
    bodyBase64,
  };
}

async function settled(table: AttemptTable, sequence: number, body?: string): Promise<void> {
  await table.start(attempt(sequence), () => Promise.resolve(completed(body)));
}

test('a cancelled attempt that arrives later gets the refusal', async () => {
  const table = new AttemptTable({ clock: new ManualClock() });
  assert.equal(table.cancel(attempt(1), CANCELLED).started, false);
  assert.deepEqual(await table.answerOf(attempt(1)), CANCELLED);
});

test('a running attempt cannot be cancelled, and an ended one answers with its result', async () => {
  const table = new AttemptTable({ clock: new ManualClock() });
  let end: (result: AttemptResult) => void = () => {};
  const running = table.start(
    attempt(1),
    () =>
      new Promise((resolve) => {
        end = resolve;
      }),
  );
  assert.deepEqual(table.cancel(attempt(1), CANCELLED).started, true);
  assert.equal(table.inquire(attempt(1)).state, AttemptState.Running);
  end(completed());
  await running;
  assert.equal(table.inquire(attempt(1)).result?.status, 200);
  assert.equal(table.cancel(attempt(1), CANCELLED).result?.status, 200);
});

// Without the mark, a forgotten tombstone would let the cancelled attempt start.
test('after its record is removed an attempt is refused and never called unknown', async () => {
  const clock = new ManualClock();
  const table = new AttemptTable({ clock });
  table.cancel(attempt(5), CANCELLED);
  clock.advance(RECORD_KEEP_MS);
  table.sweep();
  for (const sequence of [3, 5]) {
    assert.equal(table.isExpired(attempt(sequence)), true);
    assert.equal(table.inquire(attempt(sequence)).state, AttemptState.Ended);
    assert.equal(table.cancel(attempt(sequence), CANCELLED).started, true);
  }
  assert.equal(table.isExpired(attempt(6)), false);
  assert.equal(table.isExpired(attempt(5, 'other-entry')), false);
});

test('the mark leaves attempts alone that still run', async () => {
  const clock = new ManualClock();
  const table = new AttemptTable({ clock });
  table.start(attempt(1), () => new Promise(() => {})).catch(() => {});
  await settled(table, 2);
  clock.advance(RECORD_KEEP_MS);
  table.sweep();
  assert.equal(table.inquire(attempt(1)).state, AttemptState.Running);
});

test('results are kept 30 s, then only the outcome', async () => {
  const clock = new ManualClock();
  const table = new AttemptTable({ clock });
  await settled(table, 1);
  clock.advance(RESULT_KEEP_MS);
  table.sweep();
  const { result } = table.inquire(attempt(1));
  assert.equal(result?.bodyBase64, null);
  assert.equal(result?.outcome, RequestOutcome.Completed);
  assert.equal(result?.code, OutcomeCode.AnswerNotKept);
});

test('the bytes of kept results are bounded and the oldest go first', async () => {
  const table = new AttemptTable({ clock: new ManualClock(), resultBytesMaximum: 1_000 });
  for (let sequence = 1; sequence <= 4; sequence += 1) {
    await settled(table, sequence, 'x'.repeat(300));
  }
  const kept = [1, 2, 3, 4].filter(
    (sequence) => table.inquire(attempt(sequence)).result?.bodyBase64 !== null,
  );
  assert.deepEqual(kept, [3, 4]);
});

test('the number of records is bounded by raising the mark early', () => {
  const table = new AttemptTable({ clock: new ManualClock(), recordsMaximum: 10 });
  for (let sequence = 1; sequence <= 15; sequence += 1) {
    table.cancel(attempt(sequence), CANCELLED);
  }
  assert.equal(table.isExpired(attempt(5)), true);
  assert.equal(table.inquire(attempt(6)).state, AttemptState.Cancelled);
});
