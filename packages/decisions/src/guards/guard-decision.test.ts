/**
 * Checks that the guards do not act twice on the same slowdown, do not lose expensive work before cheap
 * work, respect the eviction limits, and do not flap between throttling and relaxing.
 */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import fc from 'fast-check';
import { SETTINGS, candidate, createInput } from './guard-fixture.test.js';
import { GUARD_THROTTLE_FLOOR, decideGuardActions, recordGuardActions } from './guard-decision.js';
import { GuardActionKind, createGuardState } from './guard-types.js';
import type { GuardInput, GuardState } from './guard-types.js';

const AT_FLOOR = { throttle: GUARD_THROTTLE_FLOOR };

describe('guard decisions', () => {
  let state: GuardState;
  beforeEach(() => {
    state = createGuardState();
  });

  /** Returns the decision on the second of two slow measurements. */
  function decideAfterTwoSlowMeasurements(overrides: Partial<GuardInput>, at = 1_000) {
    decideGuardActions(state, createInput(at, 2, overrides));
    return decideGuardActions(state, createInput(at + 1, 2, overrides));
  }

  it('acts only after two consecutive slow measurements', () => {
    assert.deepEqual(decideGuardActions(state, createInput(1, 2)).actions, []);
    assert.deepEqual(decideGuardActions(state, createInput(2, 1.2)).actions, []);
    assert.deepEqual(decideGuardActions(state, createInput(3, 2)).actions, []);
    assert.equal(decideGuardActions(state, createInput(4, 2)).actions.length, 1);
  });

  it('does not count the same measurement twice', () => {
    decideGuardActions(state, createInput(1, 2));
    assert.deepEqual(decideGuardActions(state, createInput(1, 2)).actions, []);
  });

  it('throttles before it evicts, the cheapest kind first and no more than needed', () => {
    const { actions } = decideAfterTwoSlowMeasurements({
      candidates: [
        candidate('expensive', { kind: 'render', lossCost: 9 }),
        candidate('cheap', { lossCost: 1 }),
      ],
    });
    assert.deepEqual(
      actions.map(({ kind, taskId }) => [kind, taskId]),
      [
        [GuardActionKind.Throttle, 'cheap'],
        [GuardActionKind.Throttle, 'expensive'],
      ],
    );
    const slightSlowdown = decideGuardActions(createGuardState(), {
      ...createInput(1, 1.32),
      settings: { ...SETTINGS, measurementsToAct: 1 },
      candidates: [
        candidate('expensive', { kind: 'render', lossCost: 9 }),
        candidate('cheap', { lossCost: 1 }),
      ],
    });
    assert.deepEqual(
      slightSlowdown.actions.map(({ taskId }) => taskId),
      ['cheap'],
    );
  });

  it('throttles all tasks of a kind evenly, so that none is starved', () => {
    const { actions } = decideGuardActions(createGuardState(), {
      ...createInput(1, 1.35),
      settings: { ...SETTINGS, measurementsToAct: 1 },
      candidates: [candidate('expensive', { lossCost: 9 }), candidate('cheap', { lossCost: 1 })],
    });
    const [first, second] = actions;
    assert.equal(actions.length, 2);
    assert.equal(first?.throttle, second?.throttle);
    assert.ok((first?.throttle ?? 0) > GUARD_THROTTLE_FLOOR);
  });

  it('throttles the task with the largest effect before a cheaper task with little effect', () => {
    const quiet = candidate('quiet', { kind: 'light', effect: 100, lossCost: 1 });
    const noisy = candidate('noisy', { kind: 'render', effect: 4_000, lossCost: 2 });
    const { actions } = decideGuardActions(createGuardState(), {
      ...createInput(1, 1.35),
      settings: { ...SETTINGS, measurementsToAct: 1 },
      candidates: [quiet, noisy],
    });
    assert.deepEqual(
      actions.map(({ taskId }) => taskId),
      ['noisy'],
    );
  });

  it('limits a throttled kind to the number of tasks that ran when it was throttled', () => {
    decideAfterTwoSlowMeasurements({
      candidates: [candidate('a', { kind: 'render' }), candidate('b', { kind: 'render' })],
    });
    assert.equal(state.kindLimits.get('render')?.tasksMaximum, 2);
  });

  it('ignores measurements taken before its last action took effect', () => {
    const { actions } = decideAfterTwoSlowMeasurements({});
    recordGuardActions(state, actions, 5_000);
    for (const at of [2_000, 3_000, 4_999]) {
      assert.deepEqual(decideGuardActions(state, createInput(at, 9)).actions, []);
    }
    decideGuardActions(state, createInput(5_500, 9));
    assert.equal(decideGuardActions(state, createInput(6_000, 9)).actions.length, 1);
  });

  const evictions = [
    {
      name: 'moves the cheapest task when no task can be throttled further',
      input: {
        candidates: [
          candidate('expensive', { ...AT_FLOOR, lossCost: 9 }),
          candidate('cheap', { ...AT_FLOOR, lossCost: 1 }),
        ],
      },
      expected: [GuardActionKind.Move, 'cheap'],
    },
    {
      name: 'moves a checkpointable task before it stops another task',
      input: {
        candidates: [
          candidate('lost', { ...AT_FLOOR, lossCost: 1, checkpointable: false }),
          candidate('saved', { ...AT_FLOOR, lossCost: 9 }),
        ],
      },
      expected: [GuardActionKind.Move, 'saved'],
    },
    {
      name: 'stops a task without checkpoints when there is no other option',
      input: { candidates: [candidate('lost', { ...AT_FLOOR, checkpointable: false })] },
      expected: [GuardActionKind.Stop, 'lost'],
    },
    {
      name: 'moves no task while the object store is unavailable',
      input: { candidates: [candidate('a', AT_FLOOR)], objectStoreAvailable: false },
      expected: null,
    },
    {
      name: 'does not evict a run that has been evicted three times',
      input: { candidates: [candidate('a', { ...AT_FLOOR, evictions: 3 })] },
      expected: null,
    },
    {
      name: 'does nothing when guards are disabled',
      input: { settings: { ...SETTINGS, enabled: false } },
      expected: null,
    },
  ];
  for (const { name, input, expected } of evictions) {
    it(name, () => {
      const { actions } = decideAfterTwoSlowMeasurements(input);
      const [action] = actions;
      assert.deepEqual(action === undefined ? null : [action.kind, action.taskId], expected);
    });
  }

  it('never exceeds the eviction limit for any sequence of measurements', () => {
    const slowdowns = fc.array(fc.double({ min: 1, max: 20, noNaN: true }), { maxLength: 300 });
    fc.assert(
      fc.property(slowdowns, (values) => {
        const newState = createGuardState();
        const evictionTimes: number[] = [];
        values.forEach((slowdown, index) => {
          const at = index * 500;
          const candidates = [candidate('a', AT_FLOOR), candidate('b', AT_FLOOR)];
          const { actions } = decideGuardActions(
            newState,
            createInput(at, slowdown, { candidates }),
          );
          recordGuardActions(newState, actions, at + 100);
          const evicted = actions.filter(({ kind }) => kind === GuardActionKind.Move);
          evictionTimes.push(...evicted.map(() => at));
        });
        evictionTimes
          .slice(1)
          .forEach((at, index) => assert.ok(at - (evictionTimes[index] ?? 0) >= 30_000));
      }),
      { seed: 11, numRuns: 200 },
    );
  });
});
