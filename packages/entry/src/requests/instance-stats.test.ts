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

// Guards against an instance that gets no more requests after one slow response, because its measured
// latency stays high until the next request.
test('a measured latency decays over time', () => {
  const clock = new ManualClock(1_000);
  const stats = new InstanceStatsTable(clock);
  const slow = stats.getOrCreate('instance-labels-0', 'labels');
  const fast = stats.getOrCreate('instance-labels-1', 'labels');
  stats.recordResult(slow, COMPLETED, 80);
  assert.equal(stats.getDecayedLatencyMs(slow), 80);
  clock.advance(10_000);
  stats.recordResult(fast, COMPLETED, 5);
  const decayed = stats.getDecayedLatencyMs(slow) ?? 0;
  assert.ok(decayed > 0 && decayed < 5, `the decayed latency is ${decayed} ms`);
});

test('an instance without completed attempts has no latency', () => {
  const stats = new InstanceStatsTable(new ManualClock(1_000));
  assert.equal(stats.getDecayedLatencyMs(stats.getOrCreate('instance-labels-0', 'labels')), null);
});
