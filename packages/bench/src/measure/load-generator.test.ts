import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource, sleep } from '@figjunction/time';
import { RequestEnding, generateLoad } from './load-generator.js';

function load(overrides: Partial<Parameters<typeof generateLoad>[0]>) {
  return generateLoad({
    ratePerSecond: 500,
    durationMs: 200,
    random: new RandomSource(1),
    send: () => Promise.resolve(RequestEnding.Completed),
    ...overrides,
  });
}

test('the same seed offers the same number of requests', async () => {
  const [first, second] = [await load({}), await load({})];
  assert.ok(first.offered > 50);
  assert.equal(first.offered, second.offered);
});

test('a stall of the sender counts in the latency of the requests that were due meanwhile', async () => {
  const { latency } = await load({
    async send(index) {
      if (index === 0) {
        const until = performance.now() + 120;
        while (performance.now() < until) {
          // Blocks the generator on purpose.
        }
      }
      return RequestEnding.Completed;
    },
  });
  assert.ok((latency.percentileMs(50) ?? 0) > 5);
});

test('requests are sent while earlier ones have no answer, up to the limit', async () => {
  const { endings, offered } = await load({
    inProgressMaximum: 10,
    async send() {
      await sleep(400);
      return RequestEnding.Completed;
    },
  });
  assert.equal(endings[RequestEnding.Completed], 10);
  assert.equal(endings[RequestEnding.NotSent], offered - 10);
});

test('a send that throws counts as no answer and has no latency', async () => {
  const { endings, offered, latency } = await load({
    send: () => Promise.reject(new Error('connection lost')),
  });
  assert.equal(endings[RequestEnding.NoAnswer], offered);
  assert.equal(latency.count, 0);
});
