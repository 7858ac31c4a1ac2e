/**
 * Guards against answers that count as given later than they may have been, and against answers to long polls that
 * count as so old that a scheduler which hears all changes would hold its starts back.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AnswerTimes } from './answer-times.js';

/** The store's clock is this far from the clock of the process. */
const STORE_OFFSET_MS = 50_000;
const POLL_MS = 1_500;
const WAY_MS = 12;

interface Poll {
  sentAt: number;
  givenAt: number;
  receivedAt: number;
  heldMs?: number;
}

function observe(times: AnswerTimes, { givenAt, heldMs = 0, ...poll }: Poll): number {
  return times.observe({ ...poll, heldMs, storeMs: givenAt + STORE_OFFSET_MS });
}

test('takes an answer that was late on its way for given when its request was sent', () => {
  const times = new AnswerTimes();
  assert.equal(observe(times, { sentAt: 1_000, givenAt: 1_010, receivedAt: 1_900 }), 1_000);
});

test('takes an answer without changes for given once the store has held it back', () => {
  const times = new AnswerTimes();
  const poll = { sentAt: 1_000, givenAt: 1_000 + POLL_MS + WAY_MS, heldMs: POLL_MS };
  assert.equal(observe(times, { ...poll, receivedAt: 3_300 }), 1_000 + POLL_MS);
});

test('relates an answer with changes to the answer before, by the clock of the store', () => {
  const times = new AnswerTimes();
  observe(times, { sentAt: 1_000, givenAt: 1_000 + WAY_MS, receivedAt: 1_000 + 2 * WAY_MS });
  const changed = { sentAt: 1_030, givenAt: 2_400, receivedAt: 2_400 + WAY_MS };
  const givenAt = observe(times, changed);
  assert.ok(givenAt <= changed.givenAt);
  assert.ok(changed.givenAt - givenAt <= 2 * WAY_MS);
});

test('takes no answer for given after it was received, nor before its request was sent', () => {
  const times = new AnswerTimes();
  observe(times, { sentAt: 1_000, givenAt: 1_000, receivedAt: 1_001 });
  const jumped = times.observe({ sentAt: 1_100, receivedAt: 1_200, heldMs: 0, storeMs: 1e12 });
  assert.equal(jumped, 1_200);
  const unreadable = { sentAt: 1_300, receivedAt: 1_400, heldMs: 0, storeMs: Number.NaN };
  assert.equal(times.observe(unreadable), 1_300);
  assert.equal(observe(times, { sentAt: 1_500, givenAt: 1_510, receivedAt: 1_520 }), 1_500);
});
