/**
 * Guards against acting twice on one fault, losing dear work before cheap work, evicting without a ration,
 * and flapping between throttle and relax.
 */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import fc from 'fast-check';
import { SETTINGS, candidate, measured } from './guard-fixture.test.js';
import { GUARD_THROTTLE_FLOOR, decideGuards, noteGuardEffect } from './guard-decision.js';
import { GuardActionKind, createGuardState } from './guard-types.js';
import type { GuardInput, GuardState } from './guard-types.js';

const AT_FLOOR = { throttle: GUARD_THROTTLE_FLOOR };

describe('guard ladder', () => {
  let state: GuardState;
  beforeEach(() => {
    state = createGuardState();
  });

  /** The decision on the second of two slow measurements. */
  function actOn(overrides: Partial<GuardInput>, at = 1_000) {
    decideGuards(state, measured(at, 2, overrides));
    return decideGuards(state, measured(at + 1, 2, overrides));
  }

  it('needs two successive slow measurements', () => {
    assert.deepEqual(decideGuards(state, measured(1, 2)).actions, []);
    assert.deepEqual(decideGuards(state, measured(2, 1.2)).actions, []);
    assert.deepEqual(decideGuards(state, measured(3, 2)).actions, []);
    assert.equal(decideGuards(state, measured(4, 2)).actions.length, 1);
  });

  it('does not count one measurement twice', () => {
    decideGuards(state, measured(1, 2));
    assert.deepEqual(decideGuards(state, measured(1, 2)).actions, []);
  });

  it('throttles first, the cheapest kind first, no further than needed', () => {
    const { actions } = actOn({
      candidates: [
        candidate('dear', { kind: 'render', lossCost: 9 }),
        candidate('cheap', { lossCost: 1 }),
      ],
    });
    assert.deepEqual(
      actions.map(({ kind, taskId }) => [kind, taskId]),
      [
        [GuardActionKind.Throttle, 'cheap'],
        [GuardActionKind.Throttle, 'dear'],
      ],
    );
    const slight = decideGuards(createGuardState(), {
      ...measured(1, 1.32),
      settings: { ...SETTINGS, measurementsToAct: 1 },
      candidates: [
        candidate('dear', { kind: 'render', lossCost: 9 }),
        candidate('cheap', { lossCost: 1 }),
      ],
    });
    assert.deepEqual(
      slight.actions.map(({ taskId }) => taskId),
      ['cheap'],
    );
  });

  it('cuts the tasks of one kind alike, so that none stands still for the others', () => {
    const { actions } = decideGuards(createGuardState(), {
      ...measured(1, 1.35),
      settings: { ...SETTINGS, measurementsToAct: 1 },
      candidates: [candidate('dear', { lossCost: 9 }), candidate('cheap', { lossCost: 1 })],
    });
    const [first, second] = actions;
    assert.equal(actions.length, 2);
    assert.equal(first?.throttle, second?.throttle);
    assert.ok((first?.throttle ?? 0) > GUARD_THROTTLE_FLOOR);
  });

  it('restrains the task that slows services most before one that merely costs less', () => {
    const quiet = candidate('quiet', { kind: 'calm', effect: 100, lossCost: 1 });
    const noisy = candidate('noisy', { kind: 'render', effect: 4_000, lossCost: 2 });
    const { actions } = decideGuards(createGuardState(), {
      ...measured(1, 1.35),
      settings: { ...SETTINGS, measurementsToAct: 1 },
      candidates: [quiet, noisy],
    });
    assert.deepEqual(
      actions.map(({ taskId }) => taskId),
      ['noisy'],
    );
  });

  it('bounds a restrained kind to the tasks that ran when it was throttled', () => {
    actOn({ candidates: [candidate('a', { kind: 'render' }), candidate('b', { kind: 'render' })] });
    assert.equal(state.kindRestraints.get('render')?.tasksMaximum, 2);
  });

  it('ignores measurements from before its last action took effect', () => {
    const { actions } = actOn({});
    noteGuardEffect(state, actions, 5_000);
    for (const at of [2_000, 3_000, 4_999]) {
      assert.deepEqual(decideGuards(state, measured(at, 9)).actions, []);
    }
    decideGuards(state, measured(5_500, 9));
    assert.equal(decideGuards(state, measured(6_000, 9)).actions.length, 1);
  });

  const evictions = [
    {
      name: 'moves the cheapest when nothing is left to throttle',
      input: {
        candidates: [
          candidate('dear', { ...AT_FLOOR, lossCost: 9 }),
          candidate('cheap', { ...AT_FLOOR, lossCost: 1 }),
        ],
      },
      expected: [GuardActionKind.Move, 'cheap'],
    },
    {
      name: 'moves checkpointable work before it stops other work',
      input: {
        candidates: [
          candidate('lost', { ...AT_FLOOR, lossCost: 1, checkpointable: false }),
          candidate('saved', { ...AT_FLOOR, lossCost: 9 }),
        ],
      },
      expected: [GuardActionKind.Move, 'saved'],
    },
    {
      name: 'stops work that has no checkpoints when nothing else is left',
      input: { candidates: [candidate('lost', { ...AT_FLOOR, checkpointable: false })] },
      expected: [GuardActionKind.Stop, 'lost'],
    },
    {
      name: 'moves nothing while the object store is down',
      input: { candidates: [candidate('a', AT_FLOOR)], objectStoreAvailable: false },
      expected: null,
    },
    {
      name: 'leaves a run alone that was evicted three times',
      input: { candidates: [candidate('a', { ...AT_FLOOR, evictions: 3 })] },
      expected: null,
    },
    {
      name: 'does nothing when guards are off',
      input: { settings: { ...SETTINGS, enabled: false } },
      expected: null,
    },
  ];
  for (const { name, input, expected } of evictions) {
    it(name, () => {
      const { actions } = actOn(input);
      const [action] = actions;
      assert.deepEqual(action === undefined ? null : [action.kind, action.taskId], expected);
    });
  }

  it('never evicts more than its ration whatever is measured', () => {
    const slowdowns = fc.array(fc.double({ min: 1, max: 20, noNaN: true }), { maxLength: 300 });
    fc.assert(
      fc.property(slowdowns, (values) => {
        const fresh = createGuardState();
        const times: number[] = [];
        values.forEach((slowdown, index) => {
          const at = index * 500;
          const candidates = [candidate('a', AT_FLOOR), candidate('b', AT_FLOOR)];
          const { actions } = decideGuards(fresh, measured(at, slowdown, { candidates }));
          noteGuardEffect(fresh, actions, at + 100);
          const evicted = actions.filter(({ kind }) => kind === GuardActionKind.Move);
          times.push(...evicted.map(() => at));
        });
        times.slice(1).forEach((at, index) => assert.ok(at - (times[index] ?? 0) >= 30_000));
      }),
      { seed: 11, numRuns: 200 },
    );
  });
});
