/**
 * Guards against a slow scheduler that looks like a lack of room, because no log line tells how long its ticks take.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Metrics } from '@figjunction/telemetry';
import { ManualClock } from '@figjunction/time';
import { TickPhase, TickTimes } from './tick-times.js';

test('tells the number of ticks, the longest one and the time of each phase since the last summary', () => {
  const clock = new ManualClock(1_000);
  const times = new TickTimes({ clock, metrics: new Metrics() });
  const spend = (phase: TickPhase, milliseconds: number): void =>
    times.measure(phase, () => clock.advance(milliseconds));
  spend(TickPhase.Place, 100);
  spend(TickPhase.Send, 20);
  times.endTick();
  spend(TickPhase.Place, 40);
  times.endTick();
  assert.deepEqual(times.take(), {
    ticks: 2,
    longestTickMs: 120,
    phaseMs: { place: 140, send: 20 },
  });
  assert.deepEqual(times.take(), { ticks: 0, longestTickMs: 0, phaseMs: {} });
});
