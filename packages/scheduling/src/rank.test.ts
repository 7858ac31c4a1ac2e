/**
 * Guards against a queue under lasting load that never serves its largest jobs. Plays loads of up to
 * one and a half times what fits and compares which jobs end within their objective.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { QueuePolicy } from '@figjunction/types';
import { simulateLoad } from './load-simulation.js';
import type { JobOutcome } from './load-simulation.js';

const POLICY: QueuePolicy = {
  name: 'labels',
  host: 'labels.example',
  pathPrefix: '/labels/',
  service: 'printing',
  priority: 0,
  attemptsMaximum: 2,
  slackFactor: 2,
  objectiveMs: 400,
  advice: null,
};
const OVERLOAD = { jobCount: 200, vmCount: 4, meanTaskCount: 9, policy: POLICY };
const SEEDS = [1, 2, 3, 4, 5];

function isInTime({ tookMs, shortestMs }: JobOutcome): boolean {
  return tookMs !== null && tookMs <= POLICY.slackFactor * shortestMs + POLICY.objectiveMs;
}

function shareInTime(outcomes: JobOutcome[]): number {
  return outcomes.filter(isInTime).length / outcomes.length;
}

function largest(outcomes: JobOutcome[], share: number): JobOutcome[] {
  const bySize = [...outcomes].sort((left, right) => right.taskCount - left.taskCount);
  return bySize.slice(0, Math.ceil(share * outcomes.length));
}

for (const intervalMs of [180, 150, 120]) {
  test(`serves the largest tenth at least half as often as all, a job each ${intervalMs} ms`, () => {
    const plays = SEEDS.map((seed) => simulateLoad({ ...OVERLOAD, intervalMs, seed }));
    const all = shareInTime(plays.flat());
    const large = shareInTime(plays.flatMap((outcomes) => largest(outcomes, 0.1)));
    assert.ok(large >= 0.5 * all, `${large} of the largest in time, ${all} of all`);
  });
}

test('serves every job in time while the load fits', () => {
  const outcomes = simulateLoad({ ...OVERLOAD, intervalMs: 400, seed: 1 });
  assert.equal(shareInTime(outcomes), 1);
});
