/**
 * Guards against tasks that start again because the lease of their VM has expired, although its list, which comes a
 * moment later, shows that they are done; and against a wait for a list that cannot come.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RunEnding } from '@figjunction/types';
import {
  addJob,
  addVm,
  createAnnouncement,
  createState,
  createStep,
  sendReport,
} from './cell-fixture.js';
import { applyAwaitedList, expireVmLeases } from './lease-expiry.js';
import { placeTasks } from './place.js';
import { RunPhase } from './records.js';

const EXPIRED_AT = 6_000;
/** The users count a task that could run as lost 7 s after its VM is gone; the lease takes up to 5.3 s of them. */
const GIVEN_UP_BY = EXPIRED_AT + 1_600;

/** A task whose run is on a VM, as are those of the other tasks of its step, and a second VM with room for them. */
function createRunningTask(changes = {}) {
  const state = createState();
  const vm = addVm(state, 'vm-1');
  const job = addJob(state, { steps: [createStep(changes)], storedVms: [vm.id] });
  const { started: runs } = placeTasks(state, 0);
  runs.forEach((run) => Object.assign(run, { isSent: true, phase: RunPhase.Running }));
  const [run] = runs;
  assert.ok(run !== undefined);
  addVm(state, 'vm-2');
  vm.leaseExpiresAt = EXPIRED_AT;
  const startsAt = (now: number): string[] => {
    expireVmLeases(state, now);
    return placeTasks(state, now).started.map((started) => started.vm.id);
  };
  return { state, vm, job, task: run.task, startsAt };
}

/** A task of an earlier scheduler that may be on a VM which has not reported to this one. */
function createInheritedTask() {
  const state = createState();
  addVm(state, 'vm-2');
  const vm = state.addVm('vm-1', 'http://127.0.0.1:1');
  state.unreportedVms.set(vm.id, EXPIRED_AT);
  const job = addJob(state, { steps: [createStep()], storedVms: [vm.id], runNumberBase: 1_000 });
  const task = job.occurrences.get(0)?.steps[0]?.tasks[0];
  assert.ok(task !== undefined);
  const startsAt = (now: number): string[] => {
    expireVmLeases(state, now);
    return placeTasks(state, now).started.map((started) => started.vm.id);
  };
  return { state, vm, task, startsAt };
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
  const { vm, startsAt } = createInheritedTask();
  assert.equal(startsAt(EXPIRED_AT).length, 0);
  assert.notEqual(vm.listAwaitedUntil, null);
  assert.equal(startsAt(GIVEN_UP_BY).length, 1);
});

test('applies the list of a VM that has not reported to this scheduler, and waits no more', () => {
  const { state, vm, task, startsAt } = createInheritedTask();
  assert.equal(startsAt(EXPIRED_AT).length, 0);
  const ended = [{ sequence: 7, taskId: task.id, run: 1, ending: RunEnding.Done, checkpoint: '' }];
  const list = { vm: createAnnouncement(), running: [], ended, hasUnlistedEnds: false };
  assert.equal(applyAwaitedList(state, vm, list, EXPIRED_AT + 100).applied.length, 1);
  assert.ok(task.done);
  assert.equal(state.unreportedVms.size, 0);
  assert.equal(vm.lastEndSequence, 7);
});

test('starts a task elsewhere once the list of its VM shows that its run is gone, also without a session', () => {
  const { state, vm, startsAt } = createRunningTask();
  assert.deepEqual(startsAt(EXPIRED_AT), []);
  const list = { vm: vm.announcement, running: [], ended: [], hasUnlistedEnds: false };
  applyAwaitedList(state, vm, { ...list, hasUnlistedEnds: true }, EXPIRED_AT);
  assert.deepEqual(startsAt(EXPIRED_AT + 50), []);
  applyAwaitedList(state, vm, list, EXPIRED_AT + 100);
  assert.deepEqual(startsAt(EXPIRED_AT + 100), ['vm-2']);
});

test('starts no task elsewhere that its VM still lists as running, beside one that is gone', () => {
  const { state, vm, task, startsAt } = createRunningTask({ taskCount: 2 });
  assert.deepEqual(startsAt(EXPIRED_AT), []);
  const list = { vm: vm.announcement, running: [], ended: [], hasUnlistedEnds: false };
  const running = [{ taskId: task.id, run: 1 }];
  applyAwaitedList(state, vm, { ...list, running }, EXPIRED_AT + 1_000);
  assert.equal(vm.runs.size, 1);
  assert.deepEqual(startsAt(EXPIRED_AT + 2_000), ['vm-2']);
  assert.equal(task.runs[0]?.vm, vm);
  applyAwaitedList(state, vm, list, EXPIRED_AT + 2_100);
  assert.deepEqual(startsAt(EXPIRED_AT + 2_100), ['vm-2']);
});

test('applies no list of another incarnation, or of a VM that has a session again', () => {
  const { state, vm, task, startsAt } = createRunningTask();
  assert.deepEqual(startsAt(EXPIRED_AT), []);
  const ended = [{ sequence: 1, taskId: task.id, run: 1, ending: RunEnding.Done, checkpoint: '' }];
  const announcement = createAnnouncement({ ...vm.announcement, bornWallMs: 9_000 });
  const list = { vm: announcement, running: [], ended, hasUnlistedEnds: false };
  assert.deepEqual(applyAwaitedList(state, vm, list, EXPIRED_AT + 100).applied, []);
  assert.equal(vm.runs.size, 1);
  const running = [{ taskId: task.id, run: 1, checkpoint: '', percent: 0, reading: 0 }];
  sendReport(state, vm, { running }, EXPIRED_AT + 200);
  const late = applyAwaitedList(state, vm, { ...list, vm: vm.announcement }, EXPIRED_AT + 300);
  assert.deepEqual(late.applied, []);
  assert.equal(task.done, false);
});
