import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@figjunction/time';
import { OutcomeCode, RequestOutcome } from '@figjunction/types';
import { InstanceStatsTable } from './instance-stats.js';

const COMPLETED = {
  outcome: RequestOutcome.Completed,
  code: OutcomeCode.Ok,
  message: '',
  status: 200,
  contentType: null,
  bodyBase64: null,
};

// Guards against an instance that was slow once and then gets no request while others are idle.
test('an old latency fades until the instance is chosen again', () => {
  const clock = new ManualClock(1_000);
  const stats = new InstanceStatsTable(clock);
  const slow = stats.of('instance-labels-0', 'labels');
  const fast = stats.of('instance-labels-1', 'labels');
  stats.recordEnd(slow, COMPLETED, 80);
  assert.equal(stats.recentLatencyMs(slow), 80);
  clock.advance(10_000);
  stats.recordEnd(fast, COMPLETED, 5);
  const faded = stats.recentLatencyMs(slow) ?? 0;
  assert.ok(faded > 0 && faded < 5, `the latency still counts as ${faded} ms`);
});

test('an instance without answers has no latency', () => {
  const stats = new InstanceStatsTable(new ManualClock(1_000));
  assert.equal(stats.recentLatencyMs(stats.of('instance-labels-0', 'labels')), null);
});
