/**
 * Guards against work that stays throttled while services are calm, and against steps back that make
 * services slow again.
 */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { SETTINGS, candidate, measured } from './guard-fixture.test.js';
import { decideGuards } from './guard-decision.js';
import { createGuardState } from './guard-types.js';
import type { GuardState } from './guard-types.js';

describe('relaxation of guards', () => {
  let state: GuardState;
  beforeEach(() => {
    state = createGuardState();
  });

  it('relaxes step by step, each after a calm time', () => {
    const candidates = [candidate('a', { throttle: 0.25 })];
    assert.deepEqual(decideGuards(state, measured(1, 1, { candidates })).actions, []);
    assert.deepEqual(decideGuards(state, measured(29_000, 1, { candidates })).actions, []);
    const [first] = decideGuards(state, measured(30_001, 1, { candidates })).actions;
    assert.equal(first?.throttle, 0.5);
    assert.deepEqual(decideGuards(state, measured(31_000, 1, { candidates })).actions, []);
    decideGuards(state, measured(40_000, 1.26, { candidates }));
    assert.deepEqual(decideGuards(state, measured(61_000, 1, { candidates })).actions, []);
  });

  it('relaxes no further than services are expected to bear', () => {
    const candidates = [candidate('a', { throttle: 0.5 })];
    decideGuards(state, measured(1, 1.09, { candidates }));
    const [action] = decideGuards(state, measured(30_001, 1.09, { candidates })).actions;
    // At half speed the task costs 0.09; the aim of 1.2 leaves 0.11, more than the other half costs.
    assert.equal(action?.throttle, 1);
    const fresh = createGuardState();
    const two = ['a', 'b', 'c', 'd'].map((taskId) => candidate(taskId, { throttle: 0.1 }));
    const tight = { ...SETTINGS, relaxBelowSlowdown: 1.25, actAboveSlowdown: 1.25 };
    const input = { candidates: two, settings: tight };
    decideGuards(fresh, measured(1, 1.24, input));
    const steps = decideGuards(fresh, measured(30_001, 1.24, input)).actions;
    // Doubling would cost another 0.24 where 0.01 is left.
    assert.deepEqual(steps, []);
  });

  it('relaxes the kind first that costs services least', () => {
    const quiet = candidate('quiet', { throttle: 0.5, effect: 0.01 });
    const noisy = candidate('noisy', { kind: 'render', throttle: 0.5, effect: 1 });
    const input = { candidates: [noisy, quiet] };
    decideGuards(state, measured(1, 1.09, input));
    const { actions } = decideGuards(state, measured(30_001, 1.09, input));
    assert.deepEqual(
      actions.map(({ taskId }) => taskId),
      ['quiet', 'noisy'],
    );
    assert.equal(actions[0]?.throttle, 1);
  });

  it('lets new tasks of a restrained kind start throttled until it was calm', () => {
    const render = { candidates: [candidate('a', { kind: 'render' })] };
    decideGuards(state, measured(1_000, 2, render));
    const { actions } = decideGuards(state, measured(1_001, 2, render));
    assert.equal(state.kindRestraints.get('render')?.throttle, actions[0]?.throttle);
    decideGuards(state, measured(2_000, 1, { candidates: [] }));
    for (const at of [32_001, 62_002, 92_003]) {
      decideGuards(state, measured(at, 1, { candidates: [] }));
    }
    assert.equal(state.kindRestraints.size, 0);
  });
});
