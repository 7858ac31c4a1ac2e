/**
 * Guards against one odd heartbeat of another writer after which all heartbeats of the true VM are discarded, and
 * against late heartbeats that are taken for new ones.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@figjunction/time';
import { HeartbeatOrder, HeartbeatVerdict } from './heartbeat-order.js';

const HEARTBEAT_INTERVAL_MS = 1_500;
const BORN = 1_700_000_000_000;

/** Judges heartbeats with these start times and sequence numbers, one each interval. */
function judgeSeries(
  stamps: [number, number][],
  intervalMs = HEARTBEAT_INTERVAL_MS,
): HeartbeatVerdict[] {
  const clock = new ManualClock(0);
  const order = new HeartbeatOrder(clock);
  return stamps.map(([bornWallMs, sequence]) => {
    clock.advance(intervalMs);
    return order.judge({ bornWallMs, sequence });
  });
}

const { Newer, Overtaken, Reinstated } = HeartbeatVerdict;

for (const [name, odd] of [
  ['start time', [BORN + 1e9, 1]],
  ['sequence number', [BORN, 1e12]],
] as [string, [number, number]][]) {
  test(`accepts the true VM again after one odd heartbeat whose ${name} is too high`, () => {
    const series: [number, number][] = [2, 3, 4, 5, 6].map((sequence) => [BORN, sequence]);
    const verdicts = judgeSeries([[BORN, 1], odd, ...series]);
    assert.deepEqual(verdicts.slice(0, 5), [Newer, Newer, Overtaken, Overtaken, Overtaken]);
    assert.deepEqual(verdicts.slice(5), [Reinstated, Newer]);
  });
}

test('discards a burst of late heartbeats of an earlier incarnation', () => {
  const late: [number, number][] = [1, 2, 3, 4, 5, 6].map((sequence) => [BORN, sequence]);
  const verdicts = judgeSeries([[BORN + 5_000, 1], ...late], 100);
  assert.deepEqual(
    verdicts.slice(1),
    late.map(() => Overtaken),
  );
});

test('discards late heartbeats that arrive beside those of the current incarnation', () => {
  const mixed = [1, 2, 3, 4, 5, 6].flatMap((sequence): [number, number][] => [
    [BORN, sequence],
    [BORN + 5_000, sequence + 1],
  ]);
  const verdicts = judgeSeries([[BORN + 5_000, 1], ...mixed]);
  assert.equal(verdicts.filter((verdict) => verdict === Reinstated).length, 0);
});

test('discards a heartbeat that arrives again and again', () => {
  const repeated: [number, number][] = Array.from({ length: 8 }, () => [BORN, 3]);
  assert.deepEqual(
    judgeSeries([[BORN, 4], ...repeated]).slice(1),
    repeated.map(() => Overtaken),
  );
});
