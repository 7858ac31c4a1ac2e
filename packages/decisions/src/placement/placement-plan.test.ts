/**
 * Placement plans: capacity, order, quotas, fairness, spread and weights.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { RandomSource } from '@figjunction/time';
import { TaskType } from '@figjunction/types';
import type { Resources } from '@figjunction/types';
import { planPlacements } from './placement-plan.js';
import { PossibleFit, possibleFit } from './possible-fit.js';
import type {
  PlacementInputs,
  PlacementTask,
  PlacementTeam,
  PlacementVm,
} from './placement-types.js';

function size(processorMillicores: number, memoryMegabytes = 1): Resources {
  return { processorMillicores, memoryMegabytes, accelerators: 0 };
}

const ANYWHERE = { dataCentres: [], racks: [], vms: [] };

function task(key: string, overrides: Partial<PlacementTask> = {}): PlacementTask {
  return {
    key,
    type: TaskType.Batch,
    team: 'kitchen',
    kind: 'labels',
    urgencyRank: 1,
    size: overrides.size ?? size(1_000),
    worstCaseSize: overrides.size ?? size(1_000),
    allowed: ANYWHERE,
    failedOn: [],
    order: 0,
    instancesPerVm: null,
    onlyVm: null,
    ...overrides,
  };
}

function vm(agentId: string, overrides: Partial<PlacementVm> = {}): PlacementVm {
  return {
    agentId,
    location: { region: 'marmara', dataCentre: 'istanbul', rack: 'r1' },
    capacity: size(4_000, 1_000),
    free: size(4_000, 1_000),
    kinds: new Map(),
    hostsService: false,
    startsAllowed: Number.POSITIVE_INFINITY,
    limitReason: null,
    kindStarts: new Map(),
    ...overrides,
  };
}

function team(name = 'kitchen', overrides: Partial<PlacementTeam> = {}): PlacementTeam {
  return {
    name,
    weight: 1,
    runningTasks: 0,
    runningTasksMaximum: 1_000,
    processorMillicores: 0,
    processorMillicoresMaximum: 1_000_000,
    ...overrides,
  };
}

function plan(overrides: Partial<PlacementInputs>) {
  return planPlacements({
    tasks: [],
    vms: [vm('vm-1')],
    teams: [team()],
    weights: { tailLatency: 1, throughput: 1, evictions: 1 },
    random: new RandomSource(1),
    ...overrides,
  });
}

function placedKeys(overrides: Partial<PlacementInputs>): string[] {
  return plan(overrides).placements.map(({ task: { key } }) => key);
}

test('urgent tasks come first', () => {
  const tasks = [
    task('late', { urgencyRank: 2, order: 0, size: size(3_000) }),
    task('urgent', { urgencyRank: 0, order: 9, size: size(3_000) }),
  ];
  assert.deepEqual(placedKeys({ tasks }), ['urgent']);
});

// Guards against a run that fits nowhere blocking the ones behind it.
test('a task without room does not hold up smaller ones behind it', () => {
  const tasks = [
    task('large', { kind: 'large', size: size(9_000), order: 0 }),
    task('small', { order: 1 }),
  ];
  const { placements, waiting } = plan({ tasks });
  assert.deepEqual(
    placements.map(({ task: { key } }) => key),
    ['small'],
  );
  assert.deepEqual(waiting, [
    { key: 'large', reason: 'no VM can take it: it has not enough room' },
  ]);
});

test('quotas bound a team by tasks and by processors', () => {
  const tasks = ['a', 'b', 'c'].map((key, order) => task(key, { order }));
  const byTasks = team('kitchen', { runningTasks: 8, runningTasksMaximum: 10 });
  assert.equal(placedKeys({ tasks, teams: [byTasks] }).length, 2);
  const byProcessors = team('kitchen', { processorMillicoresMaximum: 1_500 });
  assert.equal(placedKeys({ tasks, teams: [byProcessors] }).length, 1);
  assert.equal(placedKeys({ tasks, teams: [] }).length, 0);
});

test('teams get room in proportion to their weights', () => {
  const tasks = Array.from({ length: 60 }, (_, index) =>
    task(`${index}`, { team: index < 30 ? 'heavy' : 'light', order: index, size: size(100) }),
  );
  const { placements } = plan({ tasks, teams: [team('heavy', { weight: 3 }), team('light')] });
  const heavy = placements.filter(({ task: placed }) => placed.team === 'heavy').length;
  assert.equal(placements.length, 40);
  assert.equal(heavy, 30);
});

test('instances are spread over VMs, racks and data centres', () => {
  const vms = ['istanbul', 'bursa'].flatMap((dataCentre) =>
    ['r1', 'r2'].flatMap((rack) =>
      ['a', 'b'].map((name) =>
        vm(`${dataCentre}-${rack}-${name}`, { location: { region: 'marmara', dataCentre, rack } }),
      ),
    ),
  );
  const instance = (index: number): PlacementTask =>
    task(`i${index}`, { type: TaskType.Instance, team: '', kind: 'api', instancesPerVm: 1 });
  const { placements } = plan({ tasks: Array.from({ length: 4 }, (_, i) => instance(i)), vms });
  const racks = new Set(placements.map(({ agentId }) => agentId.slice(0, -2)));
  assert.equal(racks.size, 4);
  const more = plan({ tasks: Array.from({ length: 20 }, (_, i) => instance(i)), vms });
  assert.equal(more.placements.length, 8);
});

// Guards against offering a VM many tasks of an unknown kind, of which its agent admits few.
test('tasks of unknown size are spread over VMs', () => {
  const unknown = (key: string): PlacementTask =>
    task(key, { size: size(500), worstCaseSize: size(3_800) });
  const { placements } = plan({
    tasks: ['a', 'b', 'c'].map(unknown),
    vms: [vm('vm-1'), vm('vm-2'), vm('vm-3')],
    weights: { tailLatency: 0, throughput: 5, evictions: 0 },
  });
  assert.equal(new Set(placements.map(({ agentId }) => agentId)).size, 3);
});

test('only allowed VMs are used', () => {
  const allowed = { ...ANYWHERE, vms: ['vm-2'] };
  const { placements } = plan({
    tasks: [task('a', { allowed })],
    vms: [vm('vm-1'), vm('vm-2'), vm('vm-3')],
  });
  assert.deepEqual(
    placements.map(({ agentId }) => agentId),
    ['vm-2'],
  );
  assert.equal(placements[0]?.rejected[0]?.reason, 'the configuration does not allow it');
});

test('a task avoids VMs on which it failed', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const { placements } = plan({
      tasks: [task('a', { failedOn: ['vm-1'] })],
      vms: [vm('vm-1'), vm('vm-2')],
      random: new RandomSource(seed),
    });
    assert.equal(placements[0]?.agentId, 'vm-2');
  }
});

test('a limited VM gets no more starts than allowed', () => {
  const tasks = ['a', 'b', 'c'].map((key) => task(key));
  const limited = vm('vm-1', { startsAllowed: 1, limitReason: 'its last starts failed' });
  assert.equal(placedKeys({ tasks, vms: [limited] }).length, 1);
  const limitedKind = vm('vm-1', { kindStarts: new Map([['labels', 2]]) });
  assert.equal(placedKeys({ tasks, vms: [limitedKind] }).length, 2);
});

test('weights decide between packing and headroom next to services', () => {
  const vms = [
    vm('full', { free: size(2_000, 500), hostsService: true }),
    vm('empty', { hostsService: true }),
  ];
  const choice = (weights: PlacementInputs['weights']): string | undefined =>
    plan({ tasks: [task('a')], vms, weights }).placements[0]?.agentId;
  assert.equal(choice({ tailLatency: 3, throughput: 1, evictions: 1 }), 'empty');
  assert.equal(choice({ tailLatency: 0.5, throughput: 3, evictions: 0.5 }), 'full');
});

test('interference moves a task away from the kinds it slows down', () => {
  const vms = [vm('noisy', { kinds: new Map([['saw', 1]]) }), vm('quiet')];
  const { placements } = plan({
    tasks: [task('a')],
    vms,
    interference: (_task, { kinds }) => (kinds.has('saw') ? 1 : 0),
  });
  assert.equal(placements[0]?.agentId, 'quiet');
});

test('possible fit tells a VM class that is too small from one that is absent', () => {
  const small = [vm('vm-1')];
  assert.equal(possibleFit(size(4_000), ANYWHERE, small), PossibleFit.Possible);
  assert.equal(possibleFit(size(4_001), ANYWHERE, small), PossibleFit.TooLarge);
  const elsewhere = { ...ANYWHERE, racks: ['r9'] };
  assert.equal(possibleFit(size(1), elsewhere, small), PossibleFit.NoVm);
});

test('a plan never exceeds the free room, the starts or the quota', () => {
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
            task(`${order}`, { size: shape, urgencyRank: rank, order, kind: `k${rank}` }),
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
