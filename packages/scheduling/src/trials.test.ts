/**
 * Guards against trials that never begin because other tasks keep starting on each VM, and against trials that
 * take the VMs away from all other tasks.
 */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { addJob, addVm, createState, createStep } from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { placeTasks } from './place.js';
import type { RunRecord, TaskRecord, VmRecord } from './records.js';
import { keepForTrial } from './trials.js';

/** A trial begins after this time beside runs that have shown progress. */
const EMPTYING_MAXIMUM_MS = 1_500;
/** After this time, a suspect starts beside others. */
const TRIAL_WAIT_MAXIMUM_MS = 2_000;

let state: CellState;
let vms: VmRecord[];
let jobCount: number;

beforeEach(() => {
  state = createState();
  vms = ['vm-1', 'vm-2', 'vm-3', 'vm-4'].map((id) => addVm(state, id));
  jobCount = 0;
});

/** Adds jobs of one task each and returns their tasks. */
function addTasks(count: number, crashes = 0): TaskRecord[] {
  return Array.from({ length: count }, () => {
    jobCount += 1;
    const id = jobCount.toString(16).padStart(16, '0');
    const job = addJob(state, { id, steps: [createStep()] });
    const task = job.occurrences.get(0)?.steps[0]?.tasks[0] as TaskRecord;
    task.crashes = Array.from({ length: crashes }, (_, index) => index + 1);
    return task;
  });
}

function placeAt(now: number): RunRecord[] {
  return placeTasks(state, now).started;
}

test('keeps a VM free for a trial while other tasks keep arriving', () => {
  vms.slice(1).forEach(({ id }) => state.vms.delete(id));
  addTasks(2);
  const earlier = placeAt(0);
  assert.equal(earlier.length, 2);
  const [suspect] = addTasks(1, 2);
  assert.equal(placeAt(100).length, 0);
  addTasks(1);
  assert.equal(placeAt(200).length, 0);
  earlier.forEach((run) => {
    run.percent = 50;
  });
  const started = placeAt(EMPTYING_MAXIMUM_MS + 100);
  assert.deepEqual(
    started.map(({ task }) => task),
    [suspect],
  );
});

test('begins a trial at once on a kept VM whose runs have ended', () => {
  vms.slice(1).forEach(({ id }) => state.vms.delete(id));
  addTasks(1);
  const [earlier] = placeAt(0);
  addTasks(1, 2);
  assert.equal(placeAt(100).length, 0);
  assert.ok(earlier);
  earlier.task.done = true;
  state.removeRun(earlier, 200);
  assert.equal(placeAt(200)[0]?.isOnTrial, true);
});

test('starts a suspect beside others when no VM could be kept for it alone', () => {
  vms.slice(1).forEach(({ id }) => state.vms.delete(id));
  addTasks(2);
  placeAt(0);
  const [suspect] = addTasks(1, 2);
  placeAt(100);
  const [started] = placeAt(TRIAL_WAIT_MAXIMUM_MS);
  assert.deepEqual([started?.task, started?.isOnTrial], [suspect, false]);
});

test('starts nothing beside a run on trial until it has proved harmless', () => {
  addTasks(1, 2);
  const [trial] = placeAt(0);
  addTasks(16);
  assert.ok(placeAt(100).every(({ vm }) => vm !== trial?.vm));
  assert.ok(trial);
  trial.percent = 1;
  assert.ok(placeAt(200).some(({ vm }) => vm === trial.vm));
});

test('keeps no more than a quarter of the VMs for trials', () => {
  addTasks(4, 2);
  assert.equal(placeAt(0).length, 1);
  addTasks(12);
  assert.equal(placeAt(100).length, 12);
});

test('starts a suspect on its kept VM although another task of its step finds no VM', () => {
  vms.slice(1).forEach((vm) => state.vms.delete(vm.id));
  const job = addJob(state, { steps: [createStep({ taskCount: 2 })] });
  const [other, suspect] = job.occurrences.get(0)?.steps[0]?.tasks ?? [];
  assert.ok(other !== undefined && suspect !== undefined);
  [other, suspect].forEach((task) => {
    task.hasRun = true;
  });
  suspect.crashes = [1, 2];
  vms.slice(0, 1).forEach((vm) => keepForTrial(vm, suspect, 0));
  assert.deepEqual(
    placeAt(1).map(({ task, isOnTrial }) => [task, isOnTrial]),
    [[suspect, true]],
  );
});
