/**
 * Guards against a call that waits for one attempt that never gets an answer, and against attempts without end.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { hedgeCall } from './hedged-call.js';
import { sleep } from './deadline.js';

const OVERDUE_MS = 20;
const LONG_MS = 5_000;

/** Attempts that take these times; one without an entry never ends by itself. */
async function run(durationsMs: number[], failing: number[] = []) {
  const started: number[] = [];
  const aborted: number[] = [];
  const result = hedgeCall({
    overdueAfterMs: () => OVERDUE_MS,
    attempt: async (number, signal) => {
      started.push(number);
      await sleep(durationsMs[number] ?? LONG_MS, signal);
      if (signal.aborted) {
        aborted.push(number);
      }
      if (failing.includes(number)) {
        throw new Error(`attempt ${number} failed`);
      }
      return number;
    },
  });
  const outcome = await result.catch((error: Error) => error.message);
  await sleep(2 * OVERDUE_MS);
  return { outcome, started, aborted };
}

test('makes one attempt when it is answered in time', async () => {
  assert.deepEqual(await run([1]), { outcome: 0, started: [0], aborted: [] });
});

test('joins an attempt without an answer with others until one is answered', async () => {
  const { outcome, started, aborted } = await run([LONG_MS, LONG_MS, 1]);
  assert.deepEqual({ outcome, started }, { outcome: 2, started: [0, 1, 2] });
  assert.deepEqual(aborted, [0, 1]);
});

test('takes the answer of an overdue attempt that comes first', async () => {
  const { outcome } = await run([2 * OVERDUE_MS, LONG_MS, LONG_MS]);
  assert.equal(outcome, 0);
});

test('fails at once when the only attempt fails, and starts no other', async () => {
  assert.deepEqual(await run([1], [0]), {
    outcome: 'attempt 0 failed',
    started: [0],
    aborted: [],
  });
});

test('goes on when one of two attempts fails', async () => {
  const { outcome } = await run([3 * OVERDUE_MS, 1], [1]);
  assert.equal(outcome, 0);
});
