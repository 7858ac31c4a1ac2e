/**
 * Guards against a loop that takes all the time of its process when its runs get long under load.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import { ManualClock } from './clock.js';
import { WakeLoop } from './wake-loop.js';

function createLoop(context: TestContext, runMs: number) {
  context.mock.timers.enable({ apis: ['setTimeout'] });
  const clock = new ManualClock(1_000);
  const startedAt: number[] = [];
  const loop = new WakeLoop({
    clock,
    run: (now) => {
      startedAt.push(now);
      clock.advance(runMs);
    },
    onError: () => {},
  });
  const advance = (milliseconds: number): void => {
    for (let passed = 0; passed < milliseconds; passed += 1) {
      clock.advance(1);
      context.mock.timers.tick(1);
    }
  };
  return { loop, startedAt, advance };
}

test('runs soon after a wake while its runs are short', (context) => {
  const { loop, startedAt, advance } = createLoop(context, 0);
  loop.start();
  advance(1);
  loop.wake();
  advance(10);
  assert.equal(startedAt.length, 2);
  loop.stop();
});

test('rests for three times as long as a run took, although it is woken', (context) => {
  const { loop, startedAt, advance } = createLoop(context, 20);
  loop.start();
  advance(1);
  loop.wake();
  advance(58);
  assert.equal(startedAt.length, 1);
  advance(4);
  assert.equal(startedAt.length, 2);
  loop.stop();
});
