/**
 * Guards against tasks of cancelled jobs that start because the scheduler has not been told of the cancellations.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import { ManualClock } from '@figjunction/time';
import { CancellationFreshness } from './cancellation-freshness.js';

/** A poll of the watch takes this long when nothing changes. */
const POLL_MS = 1_500;
/** A cancellation has to take effect within this time. */
const CANCEL_MS = 3_000;

function createFreshness() {
  const clock = new ManualClock(1_000);
  const events = new RecordingEventLog();
  return { clock, events, freshness: new CancellationFreshness({ events }) };
}

test('knows no cancellations before the first answer of the store', () => {
  const { clock, freshness } = createFreshness();
  assert.equal(freshness.isRecent(clock.now()), false);
});

test('counts cancellations as recent between two answered polls and as old before their bound', () => {
  const { clock, freshness } = createFreshness();
  freshness.confirm(clock.now());
  clock.advance(POLL_MS + 500);
  assert.equal(freshness.isRecent(clock.now()), true);
  clock.advance(CANCEL_MS - 500 - POLL_MS - 500);
  assert.equal(freshness.isRecent(clock.now()), false);
});

test('lets no start wait beyond the bound of the cancellations that it was ordered under', () => {
  const { clock, freshness } = createFreshness();
  freshness.confirm(clock.now());
  const confirmedAt = clock.now();
  for (const ageMs of [0, 1_000, 2_000]) {
    const validMs = freshness.startsValidMs(confirmedAt + ageMs);
    assert.ok(validMs > 0);
    assert.ok(ageMs + validMs < CANCEL_MS);
  }
  assert.equal(freshness.startsValidMs(confirmedAt + CANCEL_MS), 0);
});
