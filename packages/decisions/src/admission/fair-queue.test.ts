import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { FairQueue } from './fair-queue.js';
import type { ClassShare, QueueEntry } from './queue-entry.js';

const SEED = 20_261_204;

function entry(urgency: string, team = 'a', weight = 1): QueueEntry<number> {
  return { item: 0, urgency, team, weight, isRequeued: false };
}

function enqueueMany(queue: FairQueue<number>, template: QueueEntry<number>, count: number): void {
  for (let index = 0; index < count; index += 1) {
    queue.enqueue({ ...template, item: index });
  }
}

/** Up to four classes whose shares sum to at most 1. */
const classes = fc
  .array(fc.integer({ min: 0, max: 25 }), { minLength: 1, maxLength: 4 })
  .map((percents) =>
    percents.map((percent, rank): ClassShare => ({
      urgency: `class-${rank}`,
      rank,
      guaranteedShare: percent / 100,
    })),
  );

test('a class that always has requests waiting gets its guaranteed share during floods', () => {
  const property = fc.property(classes, fc.integer({ min: 10, max: 300 }), (shares, turns) => {
    const queue = new FairQueue<number>({ maximum: () => 10_000, classes: () => shares });
    shares.forEach(({ urgency }) => enqueueMany(queue, entry(urgency), turns));
    const served = new Map<string, number>();
    for (let turn = 0; turn < turns; turn += 1) {
      const { urgency } = queue.dequeue() as QueueEntry<number>;
      served.set(urgency, (served.get(urgency) ?? 0) + 1);
    }
    for (const { urgency, guaranteedShare } of shares) {
      const least = Math.floor(guaranteedShare * turns) - shares.length;
      assert.ok((served.get(urgency) ?? 0) >= least, `${urgency} got too few turns`);
    }
  });
  fc.assert(property, { seed: SEED });
});

test('teams of a class are served in proportion to their weights', () => {
  const weights = fc.array(fc.integer({ min: 1, max: 5 }), { minLength: 2, maxLength: 5 });
  const property = fc.property(weights, (teamWeights) => {
    const queue = new FairQueue<number>({ maximum: () => 100_000, classes: () => [] });
    teamWeights.forEach((weight, index) =>
      enqueueMany(queue, entry('only', `t${index}`, weight), 1_000),
    );
    const served = teamWeights.map(() => 0);
    for (let turn = 0; turn < 500; turn += 1) {
      const index = Number((queue.dequeue() as QueueEntry<number>).team.slice(1));
      served[index] = (served[index] ?? 0) + 1;
    }
    const total = teamWeights.reduce((sum, weight) => sum + weight, 0);
    teamWeights.forEach((weight, index) => {
      const expected = (500 * weight) / total;
      assert.ok(Math.abs((served[index] ?? 0) - expected) <= teamWeights.length);
    });
  });
  fc.assert(property, { seed: SEED });
});

test('no request is lost or served twice, and the length stays bounded', () => {
  const step = fc.record({
    enqueue: fc.boolean(),
    urgency: fc.constantFrom('class-0', 'class-1', 'unlisted'),
    team: fc.constantFrom('a', 'b', 'c'),
  });
  const property = fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
    const shares = [0, 1].map((rank) => ({
      urgency: `class-${rank}`,
      rank,
      guaranteedShare: 0.3,
    }));
    const queue = new FairQueue<number>({ maximum: () => 20, classes: () => shares });
    const waiting = new Set<number>();
    steps.forEach(({ enqueue, urgency, team }, index) => {
      if (enqueue) {
        waiting.add(index);
        const refused = queue.enqueue({ ...entry(urgency, team), item: index });
        assert.ok(refused === null || waiting.delete(refused.item));
      } else {
        const next = queue.dequeue();
        assert.equal(next === undefined, waiting.size === 0);
        assert.ok(next === undefined || waiting.delete(next.item));
      }
      assert.equal(queue.size, waiting.size);
      assert.ok(queue.size <= 20);
    });
  });
  fc.assert(property, { seed: SEED });
});

test('a flood of one class does not take the places reserved for other classes', () => {
  const shares = [
    { urgency: 'urgent', rank: 0, guaranteedShare: 0.5 },
    { urgency: 'idle', rank: 1, guaranteedShare: 0.2 },
  ];
  const queue = new FairQueue<number>({ maximum: () => 10, classes: () => shares });
  enqueueMany(queue, entry('idle'), 100);
  assert.equal(queue.size, 5);
  enqueueMany(queue, entry('urgent'), 100);
  assert.equal(queue.size, 10);
});

test('a requeued request is first in its team, even when the queue is full', () => {
  const queue = new FairQueue<number>({ maximum: () => 2, classes: () => [] });
  enqueueMany(queue, entry('only'), 2);
  assert.equal(queue.enqueue({ ...entry('only'), item: 99, isRequeued: true }), null);
  assert.equal(queue.dequeue()?.item, 99);
});

test('a new request displaces one of a team with a longer queue', () => {
  const queue = new FairQueue<number>({ maximum: () => 4, classes: () => [] });
  enqueueMany(queue, entry('only', 'flood'), 4);
  assert.equal(queue.enqueue(entry('only', 'small'))?.team, 'flood');
  assert.equal(queue.enqueue(entry('only', 'flood'))?.team, 'flood');
  assert.equal(queue.size, 4);
});
