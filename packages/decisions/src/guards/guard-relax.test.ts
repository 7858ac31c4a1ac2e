/**
 * Checks that tasks do not stay throttled after a stable period, and that relaxing does not slow the
 * services down again.
 */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { SETTINGS, candidate, createInput } from './guard-fixture.test.js';
import { decideGuardActions } from './guard-decision.js';
import { createGuardState } from './guard-types.js';
import type { GuardState } from './guard-types.js';

describe('relaxation of guards', () => {
  let state: GuardState;
  beforeEach(() => {
    state = createGuardState();
  });

  it('relaxes in steps, each after a stable period', () => {
    const candidates = [candidate('a', { throttle: 0.25 })];
    assert.deepEqual(decideGuardActions(state, createInput(1, 1, { candidates })).actions, []);
    assert.deepEqual(decideGuardActions(state, createInput(29_000, 1, { candidates })).actions, []);
    const [first] = decideGuardActions(state, createInput(30_001, 1, { candidates })).actions;
    assert.equal(first?.throttle, 0.5);
    assert.deepEqual(decideGuardActions(state, createInput(31_000, 1, { candidates })).actions, []);
    decideGuardActions(state, createInput(40_000, 1.26, { candidates }));
    assert.deepEqual(decideGuardActions(state, createInput(61_000, 1, { candidates })).actions, []);
  });

  it('relaxes no further than the expected slowdown allows', () => {
    const candidates = [candidate('a', { throttle: 0.5 })];
    decideGuardActions(state, createInput(1, 1.09, { candidates }));
    const [action] = decideGuardActions(state, createInput(30_001, 1.09, { candidates })).actions;
    // At half speed the task adds 0.09; the goal of 1.2 leaves 0.11, more than the other half adds.
    assert.equal(action?.throttle, 1);
    const newState = createGuardState();
    const four = ['a', 'b', 'c', 'd'].map((taskId) => candidate(taskId, { throttle: 0.1 }));
    const tight = { ...SETTINGS, relaxBelowSlowdown: 1.25, actAboveSlowdown: 1.25 };
    const input = { candidates: four, settings: tight };
    decideGuardActions(newState, createInput(1, 1.24, input));
    const steps = decideGuardActions(newState, createInput(30_001, 1.24, input)).actions;
    // Doubling the throttles would add another 0.24; the bound of 1.25 leaves 0.01.
    assert.deepEqual(steps, []);
  });

  it('relaxes the kind with the smallest effect first', () => {
    const quiet = candidate('quiet', { throttle: 0.5, effect: 0.01 });
    const noisy = candidate('noisy', { kind: 'render', throttle: 0.5, effect: 1 });
    const input = { candidates: [noisy, quiet] };
    decideGuardActions(state, createInput(1, 1.09, input));
    const { actions } = decideGuardActions(state, createInput(30_001, 1.09, input));
    assert.deepEqual(
      actions.map(({ taskId }) => taskId),
      ['quiet', 'noisy'],
    );
    assert.equal(actions[0]?.throttle, 1);
  });

  it('starts new tasks of a throttled kind throttled until stable periods have passed', () => {
    const render = { candidates: [candidate('a', { kind: 'render' })] };
    decideGuardActions(state, createInput(1_000, 2, render));
    const { actions } = decideGuardActions(state, createInput(1_001, 2, render));
    assert.equal(state.kindLimits.get('render')?.throttle, actions[0]?.throttle);
    decideGuardActions(state, createInput(2_000, 1, { candidates: [] }));
    for (const at of [32_001, 62_002, 92_003]) {
      decideGuardActions(state, createInput(at, 1, { candidates: [] }));
    }
    assert.equal(state.kindLimits.size, 0);
  });
});
