/**
 * Guards against ends that wait half a second for their report on a large cell, and against a scheduler that
 * is kept overloaded by reports.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { computeReportPace } from './report-pace.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Share of the objective of the fastest queue that may pass until an end is reported. */
const LONGEST_PAUSE_MS = 100;

test('lets ends on a calm cell of 160 VMs be reported soon', () => {
  assert.ok(computeReportPace(160, 0.4).pauseMs <= LONGEST_PAUSE_MS);
});

test('bounds the reports of all runners together while the scheduler is busy', () => {
  for (const runnerCount of [11, 160, 300, 946]) {
    const { pauseMs } = computeReportPace(runnerCount, 1);
    assert.ok((runnerCount / pauseMs) * MILLISECONDS_PER_SECOND <= 340);
  }
});

test('lists the runs of each VM several times within the lease, and more rarely on large cells', () => {
  assert.equal(computeReportPace(11, 0).listIntervalMs, 500);
  assert.equal(computeReportPace(160, 0).listIntervalMs, 960);
  assert.equal(computeReportPace(946, 0).listIntervalMs, 2_000);
});

test('never shortens the pause when the scheduler has more to do or more runners', () => {
  const load = fc.double({ min: 0, max: 1, noNaN: true });
  const runners = fc.integer({ min: 1, max: 1_000 });
  fc.assert(
    fc.property(runners, runners, load, load, (fewer, more, lower, higher) => {
      const calm = computeReportPace(Math.min(fewer, more), Math.min(lower, higher));
      const busy = computeReportPace(Math.max(fewer, more), Math.max(lower, higher));
      return calm.pauseMs <= busy.pauseMs && calm.listIntervalMs <= busy.listIntervalMs;
    }),
  );
});
