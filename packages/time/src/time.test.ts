/**
 * Guards against systems that overlap, errors that end the loop, and runs that pile up.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from './clock.js';
import { hasPassed, deadlineAfter, remainingMs } from './deadline.js';
import { RandomSource } from './random-source.js';
import { SingleFlight } from './single-flight.js';
import { TickLoop } from './tick-loop.js';

describe('deadlines', () => {
  it('pass at the instant they name', () => {
    const clock = new ManualClock(10);
    const deadline = deadlineAfter(clock, 5);
    assert.equal(remainingMs(clock, deadline), 5);
    clock.advance(5);
    assert.equal(hasPassed(clock, deadline), true);
    assert.equal(remainingMs(clock, deadline), 0);
  });
});

describe('TickLoop', () => {
  it('runs due systems in order and survives one that throws', async () => {
    const clock = new ManualClock();
    const ran: string[] = [];
    const errors: string[] = [];
    const record = (name: string) => (): void => {
      ran.push(name);
    };
    const loop = new TickLoop({
      clock,
      systems: [
        { name: 'first', intervalMs: 10, run: record('first') },
        {
          name: 'broken',
          intervalMs: 0,
          run: () => {
            throw new Error('fault');
          },
        },
        { name: 'last', intervalMs: 0, run: record('last') },
      ],
      onError: (system) => errors.push(system),
    });
    await loop.tick();
    clock.advance(5);
    await loop.tick();
    clock.advance(5);
    await loop.tick();
    assert.deepEqual(ran, ['first', 'last', 'last', 'first', 'last']);
    assert.equal(errors.length, 3);
  });
});

describe('SingleFlight', () => {
  it('drops starts while a run is in flight and runs again after a failure', async () => {
    let runs = 0;
    const flight = new SingleFlight({
      run: async () => {
        runs += 1;
        throw new Error('fault');
      },
    });
    await Promise.all([flight.start(), flight.start()]);
    assert.equal(runs, 1);
    await flight.start();
    assert.equal(runs, 2);
  });
});

describe('RandomSource', () => {
  it('repeats its choices for the same seed', () => {
    const draw = (): number[] => {
      const random = new RandomSource(7);
      return Array.from({ length: 5 }, () => random.below(100));
    };
    assert.deepEqual(draw(), draw());
  });
});
