/**
 * Guards against filler jobs that never start beside serving tasks again, since the pressure of their image was
 * estimated too high once.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { addJob, addVm, createState, createStep } from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { placeTasks } from './place.js';

const MENU = createStep({ taskCount: 4, fills: true, image: 'menu' });
const WAITED_MS = 2_000;

/** Two VMs with a serving task each, which would not bear the image `menu` by its estimate. */
function createServingCell(servingMillicores: number): CellState {
  const state = createState();
  const resources = { processorMillicores: servingMillicores, memoryMegabytes: 0, accelerators: 0 };
  const serving = createStep({ longRunning: true, latencyTargetMs: 50, resources, taskCount: 2 });
  const vms = ['vm-1', 'vm-2'].map((id) => addVm(state, id));
  addJob(state, { id: 'serving', steps: [{ ...serving, tasksPerVmMaximum: 1 }] });
  placeTasks(state, 0);
  vms.forEach((vm) => {
    vm.pressureAllowance = 0;
  });
  return state;
}

function countStarted(state: CellState, now: number): number {
  return placeTasks(state, now).started.length;
}

test('starts a filler job after a wait although its image is estimated to slow the serving tasks', () => {
  const state = createServingCell(500);
  addJob(state, { id: 'menu', steps: [MENU] });
  assert.equal(countStarted(state, WAITED_MS - 1), 0);
  assert.equal(countStarted(state, WAITED_MS), 1);
  assert.equal(countStarted(state, 2 * WAITED_MS), 0, 'the job has a run');
});

test('starts no second filler job on a VM whose serving tasks would not bear it', () => {
  const state = createServingCell(500);
  ['menu-1', 'menu-2', 'menu-3'].forEach((id) => addJob(state, { id, steps: [MENU] }));
  assert.equal(countStarted(state, WAITED_MS), 2);
});

test('starts no such job while half of the capacity is in use', () => {
  const state = createServingCell(2_000);
  addJob(state, { id: 'menu', steps: [MENU] });
  assert.equal(countStarted(state, 2 * WAITED_MS), 0);
});
