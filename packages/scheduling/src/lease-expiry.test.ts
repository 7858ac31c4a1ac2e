/**
 * Guards against tasks that start again because the lease of their VM has expired, although its list, which comes a
 * moment later, shows that they are done; and against a wait for a list that cannot come.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RunEnding } from '@figjunction/types';
import { addJob, addVm, createState, createStep, sendReport } from './cell-fixture.js';
import { expireVmLeases } from './lease-expiry.js';
import { placeTasks } from './place.js';
import { RunPhase } from './records.js';

const EXPIRED_AT = 6_000;
/** The users count a task that could run as lost 7 s after its VM is gone; the lease takes up to 5.3 s of them. */
const GIVEN_UP_BY = EXPIRED_AT + 1_600;

/** A task whose run is on a VM, and a second VM with room for it. */
function createRunningTask(changes = {}) {
  const state = createState();
  const vm = addVm(state, 'vm-1');
  const job = addJob(state, { steps: [createStep(changes)], storedVms: [vm.id] });
  const [run] = placeTasks(state, 0).started;
  assert.ok(run !== undefined);
  Object.assign(run, { isSent: true, phase: RunPhase.Running });
  addVm(state, 'vm-2');
  vm.leaseExpiresAt = EXPIRED_AT;
  const startsAt = (now: number): string[] => {
    expireVmLeases(state, now);
    return placeTasks(state, now).started.map((started) => started.vm.id);
  };
  return { state, vm, job, task: run.task, startsAt };
}

test('starts no task elsewhere while the list of its VM may come, which shows that it is done', () => {
  const { state, vm, task, startsAt } = createRunningTask();
  assert.deepEqual(startsAt(EXPIRED_AT), []);
  assert.equal(vm.session, 0);
  assert.deepEqual(startsAt(EXPIRED_AT + 500), []);
  const done = { sequence: 1, taskId: task.id, run: 1, ending: RunEnding.Done, checkpoint: '' };
  sendReport(state, vm, { ended: [done] }, EXPIRED_AT + 600);
  assert.ok(task.done);
  assert.deepEqual(startsAt(GIVEN_UP_BY), []);
});

test('starts a task elsewhere as soon as the list of its VM shows that its run is gone', () => {
  const { state, vm, startsAt } = createRunningTask();
  assert.deepEqual(startsAt(EXPIRED_AT), []);
  sendReport(state, vm, { running: [] }, EXPIRED_AT + 100);
  assert.equal(startsAt(EXPIRED_AT + 100).length, 1);
});

test('starts a task elsewhere in time when the list of its VM does not come', () => {
  const { vm, startsAt } = createRunningTask();
  assert.deepEqual(startsAt(EXPIRED_AT), []);
  assert.deepEqual(startsAt(GIVEN_UP_BY), ['vm-2']);
  assert.equal(vm.runs.size, 0);
  assert.equal(vm.lapsedRuns.length, 1);
});

test('waits for no list of a VM that does not answer its runner', () => {
  const { vm, startsAt } = createRunningTask();
  vm.isSilent = true;
  assert.deepEqual(startsAt(EXPIRED_AT), ['vm-2']);
});

test('restarts a task that lasts without a wait for a list', () => {
  const { vm, startsAt } = createRunningTask({ longRunning: true });
  assert.deepEqual(startsAt(EXPIRED_AT), ['vm-2']);
  assert.equal(vm.lapsedRuns.length, 1);
});

test('restarts a task whose start order was never sent without a wait for a list', () => {
  const { vm, task, startsAt } = createRunningTask();
  vm.runs.forEach((run) => Object.assign(run, { isSent: false, phase: RunPhase.Ordered }));
  assert.deepEqual(startsAt(EXPIRED_AT), ['vm-2']);
  assert.equal(task.runs.length, 1);
});

test('restarts the tasks of a VM that has left after the expiry of its lease', () => {
  const { state, vm, startsAt } = createRunningTask();
  assert.deepEqual(startsAt(EXPIRED_AT), []);
  sendReport(state, vm, { vm: null, running: null }, EXPIRED_AT + 100);
  assert.deepEqual(startsAt(EXPIRED_AT + 100), ['vm-2']);
});

test('holds the tasks of a VM that has not reported to this scheduler for as long', () => {
  const state = createState();
  addVm(state, 'vm-2');
  state.unreportedVms.set('vm-1', EXPIRED_AT);
  addJob(state, { steps: [createStep()], storedVms: ['vm-1'], runNumberBase: 1_000 });
  const startsAt = (now: number): number => {
    expireVmLeases(state, now);
    return placeTasks(state, now).started.length;
  };
  assert.equal(startsAt(EXPIRED_AT), 0);
  assert.equal(startsAt(GIVEN_UP_BY), 1);
});
