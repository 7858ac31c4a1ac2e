import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource } from '@figjunction/time';
import { chooseLeastConnections, chooseTarget } from './choose-target.js';
import type { RoutingCandidate } from './choose-target.js';
import { LatencyWindow } from './latency-window.js';
import {
  CONSECUTIVE_FAILURES_LIMIT,
  FIRST_EJECTION_MS,
  SLOW_START_MS,
  SLOW_START_WEIGHT,
  createInstanceHealth,
  ejectOutliers,
  recordAttempt,
  computeRoutingWeight,
} from './outlier-ejection.js';
import { RetryBudget } from './retry-budget.js';

const FROM = { region: 'marmara', dataCentre: 'istanbul', rack: 'istanbul-1' };
const BURSA = { region: 'marmara', dataCentre: 'bursa', rack: 'bursa-1' };
const IZMIR = { region: 'ege', dataCentre: 'izmir', rack: 'izmir-1' };

function candidate(taskId: string, changes: Partial<RoutingCandidate> = {}): RoutingCandidate {
  return {
    agentId: `vm-${taskId}`,
    taskId,
    location: FROM,
    slots: 8,
    outstanding: 0,
    latencyMs: 10,
    weight: 1,
    ...changes,
  };
}

function choices(candidates: RoutingCandidate[], otherRegionAllowed = true): Set<string | null> {
  const random = new RandomSource(7);
  const question = { from: FROM, candidates, otherRegionAllowed };
  const drawn = Array.from({ length: 200 }, () => chooseTarget(question, random)?.taskId ?? null);
  return new Set(drawn);
}

const LOCALITY = [
  {
    name: 'prefers the same data centre while it has free slots',
    candidates: [candidate('here'), candidate('near', { location: BURSA })],
    chosen: ['here'],
  },
  {
    name: 'uses another data centre of the region when all local slots are in use',
    candidates: [candidate('here', { outstanding: 8 }), candidate('near', { location: BURSA })],
    chosen: ['near'],
  },
  {
    name: 'uses another region only if that is allowed',
    candidates: [candidate('here', { outstanding: 8 }), candidate('far', { location: IZMIR })],
    allowed: false,
    chosen: ['here'],
  },
  {
    name: 'sends nothing to an ejected instance',
    candidates: [candidate('bad', { weight: 0 }), candidate('good', { location: IZMIR })],
    chosen: ['good'],
  },
  { name: 'returns null without candidates', candidates: [], chosen: [null] },
];

for (const { name, candidates, allowed = true, chosen } of LOCALITY) {
  test(`routing ${name}`, () => {
    assert.deepEqual([...choices(candidates, allowed)], chosen);
  });
}

test('chooses the less loaded of two instances', () => {
  const pair = [candidate('busy', { outstanding: 5 }), candidate('idle')];
  assert.deepEqual([...choices(pair)], ['idle']);
  assert.equal(chooseLeastConnections(pair)?.taskId, 'idle');
});

test('consecutive failures eject at most half of the instances', () => {
  const rows = ['a', 'b', 'c', 'd'].map(createInstanceHealth);
  for (const health of rows) {
    for (let count = 0; count < CONSECUTIVE_FAILURES_LIMIT; count += 1) {
      recordAttempt(health, true, 0);
    }
  }
  assert.equal(ejectOutliers(rows, 0).length, 2);
  assert.equal(ejectOutliers(rows, 1).length, 0);
});

test('an ejected instance restarts with a tenth of its weight, and its next ejection lasts twice as long', () => {
  const bad = createInstanceHealth('bad');
  const rows = [bad, createInstanceHealth('good')];
  const failAt = (now: number): number => {
    for (let count = 0; count < CONSECUTIVE_FAILURES_LIMIT; count += 1) {
      recordAttempt(bad, true, now);
    }
    return ejectOutliers(rows, now)[0]?.durationMs ?? 0;
  };
  assert.equal(failAt(0), FIRST_EJECTION_MS);
  assert.equal(computeRoutingWeight(bad, FIRST_EJECTION_MS - 1), 0);
  assert.equal(computeRoutingWeight(bad, FIRST_EJECTION_MS), SLOW_START_WEIGHT);
  assert.equal(computeRoutingWeight(bad, FIRST_EJECTION_MS + SLOW_START_MS), 1);
  assert.equal(failAt(FIRST_EJECTION_MS + 1), 2 * FIRST_EJECTION_MS);
});

test('an error rate above one half ejects an instance without consecutive failures', () => {
  const rows = [createInstanceHealth('flaky'), createInstanceHealth('good')];
  for (let count = 0; count < 30; count += 1) {
    recordAttempt(rows[0] as ReturnType<typeof createInstanceHealth>, count % 3 !== 0, count);
  }
  assert.deepEqual(
    ejectOutliers(rows, 30).map(({ taskId }) => taskId),
    ['flaky'],
  );
});

test('the retry budget allows a burst of 20 retries and then one per ten requests', () => {
  const budget = new RetryBudget();
  const taken = (): number =>
    Array.from({ length: 100 }, () => budget.tryTake()).filter(Boolean).length;
  assert.equal(taken(), 20);
  for (let count = 0; count < 55; count += 1) {
    budget.recordRequest();
  }
  assert.equal(taken(), 5);
});

test('percentiles reflect only the latencies in the window', () => {
  const window = new LatencyWindow(100);
  assert.equal(window.percentile(99), null);
  for (let count = 0; count < 100; count += 1) {
    window.record(1_000);
  }
  for (let count = 1; count <= 100; count += 1) {
    window.record(count);
  }
  assert.ok((window.percentile(50) ?? 0) <= 51);
});
