/**
 * Choice of a VM by spreading, constraints, earlier failures, weights and interference.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource } from '@figjunction/time';
import { TaskType } from '@figjunction/types';
import { ANYWHERE, plan, size, task, vm } from './placement-fixture.test.js';
import type { PlacementInputs, PlacementTask } from './placement-types.js';

test('spreads service instances over VMs, racks and data centres', () => {
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

// Guards against offering one VM many tasks of unknown size, of which its agent admits only a few.
test('spreads tasks of unknown size over VMs', () => {
  const unknown = (key: string): PlacementTask =>
    task(key, { size: size(500), worstCaseSize: size(3_800) });
  const { placements } = plan({
    tasks: ['a', 'b', 'c'].map(unknown),
    vms: [vm('vm-1'), vm('vm-2'), vm('vm-3')],
    weights: { tailLatency: 0, throughput: 5, evictions: 0 },
  });
  assert.equal(new Set(placements.map(({ agentId }) => agentId)).size, 3);
});

test('uses only allowed VMs', () => {
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

test('avoids VMs on which the task failed before', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const { placements } = plan({
      tasks: [task('a', { failedOn: ['vm-1'] })],
      vms: [vm('vm-1'), vm('vm-2')],
      random: new RandomSource(seed),
    });
    assert.equal(placements[0]?.agentId, 'vm-2');
  }
});

test('weights determine whether to pack tightly or to keep headroom next to services', () => {
  const vms = [
    vm('full', { free: size(2_000, 500), hasServiceInstances: true }),
    vm('empty', { hasServiceInstances: true }),
  ];
  const choice = (weights: PlacementInputs['weights']): string | undefined =>
    plan({ tasks: [task('a')], vms, weights }).placements[0]?.agentId;
  assert.equal(choice({ tailLatency: 3, throughput: 1, evictions: 1 }), 'empty');
  assert.equal(choice({ tailLatency: 0.5, throughput: 3, evictions: 0.5 }), 'full');
});

test('avoids a VM on which the interference estimate is high', () => {
  const vms = [vm('noisy', { taskCountsByKind: new Map([['saw', 1]]) }), vm('quiet')];
  const { placements } = plan({
    tasks: [task('a')],
    vms,
    interference: (_task, { taskCountsByKind: kinds }) => (kinds.has('saw') ? 1 : 0),
  });
  assert.equal(placements[0]?.agentId, 'quiet');
});
