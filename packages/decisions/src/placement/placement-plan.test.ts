/**
 * Placement plans respect capacity, urgency, quotas and fairness between teams.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Resources } from '@figjunction/types';
import { plan, size, task, team, vm } from './placement-fixture.test.js';
import type { PlacementInputs } from './placement-types.js';

function placedKeys(overrides: Partial<PlacementInputs>): string[] {
  return plan(overrides).placements.map(({ task: { key } }) => key);
}

test('places urgent tasks first', () => {
  const tasks = [
    task('late', { urgencyRank: 2, submissionOrder: 0, size: size(3_000) }),
    task('urgent', { urgencyRank: 0, submissionOrder: 9, size: size(3_000) }),
  ];
  assert.deepEqual(placedKeys({ tasks }), ['urgent']);
});

// Guards against head-of-line blocking by a task that fits on no VM.
test('a task that fits on no VM does not block smaller tasks behind it', () => {
  const tasks = [
    task('large', { kind: 'large', size: size(9_000), submissionOrder: 0 }),
    task('small', { submissionOrder: 1 }),
  ];
  const { placements, waiting } = plan({ tasks });
  assert.deepEqual(
    placements.map(({ task: { key } }) => key),
    ['small'],
  );
  assert.deepEqual(waiting, [
    { key: 'large', reason: 'no VM accepts the task: it does not have enough free capacity' },
  ]);
});

test('limits a team by its task quota and its processor quota', () => {
  const tasks = ['a', 'b', 'c'].map((key, order) => task(key, { submissionOrder: order }));
  const byTasks = team('kitchen', { runningTasks: 8, runningTasksMaximum: 10 });
  assert.equal(placedKeys({ tasks, teams: [byTasks] }).length, 2);
  const byProcessors = team('kitchen', { processorMillicoresMaximum: 1_500 });
  assert.equal(placedKeys({ tasks, teams: [byProcessors] }).length, 1);
  assert.equal(placedKeys({ tasks, teams: [] }).length, 0);
});

test('allocates capacity to teams in proportion to their weights', () => {
  const tasks = Array.from({ length: 60 }, (_, index) =>
    task(`${index}`, {
      team: index < 30 ? 'heavy' : 'light',
      submissionOrder: index,
      size: size(100),
    }),
  );
  const { placements } = plan({ tasks, teams: [team('heavy', { weight: 3 }), team('light')] });
  const heavy = placements.filter(({ task: placed }) => placed.team === 'heavy').length;
  assert.equal(placements.length, 40);
  assert.equal(heavy, 30);
});

test('places no more tasks on a VM than its start limit allows', () => {
  const tasks = ['a', 'b', 'c'].map((key) => task(key));
  const limited = vm('vm-1', { startsAllowed: 1, limitReason: 'recent tasks failed on it' });
  assert.equal(placedKeys({ tasks, vms: [limited] }).length, 1);
  const limitedKind = vm('vm-1', { startsAllowedByKind: new Map([['labels', 2]]) });
  assert.equal(placedKeys({ tasks, vms: [limitedKind] }).length, 2);
});

test('a plan never exceeds the free capacity, the start limits or the quota', () => {
  const sizes = fc.record({
    processorMillicores: fc.integer({ min: 0, max: 3_000 }),
    memoryMegabytes: fc.integer({ min: 0, max: 800 }),
    accelerators: fc.integer({ min: 0, max: 2 }),
  });
  const tasksArbitrary = fc.array(fc.tuple(sizes, fc.integer({ min: 0, max: 3 })), {
    maxLength: 80,
  });
  const vmsArbitrary = fc.array(fc.tuple(sizes, fc.integer({ min: 0, max: 5 })), {
    minLength: 1,
    maxLength: 8,
  });
  fc.assert(
    fc.property(
      tasksArbitrary,
      vmsArbitrary,
      fc.integer({ min: 0, max: 20 }),
      (taskShapes, vmShapes, quota) => {
        const { placements } = plan({
          tasks: taskShapes.map(([shape, rank], order) =>
            task(`${order}`, {
              size: shape,
              urgencyRank: rank,
              submissionOrder: order,
              kind: `k${rank}`,
            }),
          ),
          vms: vmShapes.map(([free, startsAllowed], index) =>
            vm(`vm-${index}`, { free, capacity: free, startsAllowed }),
          ),
          teams: [team('kitchen', { runningTasksMaximum: quota })],
        });
        assert.ok(placements.length <= quota);
        vmShapes.forEach(([free, startsAllowed], index) => {
          const placed = placements.filter(({ agentId }) => agentId === `vm-${index}`);
          const total = (pick: (shape: Resources) => number): number =>
            placed.reduce((sum, placement) => sum + pick(placement.task.size), 0);
          assert.ok(placed.length <= startsAllowed);
          assert.ok(total((shape) => shape.processorMillicores) <= free.processorMillicores);
          assert.ok(total((shape) => shape.memoryMegabytes) <= free.memoryMegabytes);
          assert.ok(total((shape) => shape.accelerators) <= free.accelerators);
        });
      },
    ),
    { seed: 3, numRuns: 200 },
  );
});
