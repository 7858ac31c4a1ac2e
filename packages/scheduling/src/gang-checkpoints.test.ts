/**
 * Guards against members of one gang run that start from different checkpoints, after lists of their VMs that come at
 * different times.
 */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { addJob, addVm, createState, createStep, sendReport } from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { placeTasks } from './place.js';
import type { RunRecord, VmRecord } from './records.js';

let state: CellState;
let first: RunRecord;
let second: RunRecord;

beforeEach(() => {
  state = createState();
  addVm(state, 'vm-1');
  addVm(state, 'vm-2');
  addJob(state, { steps: [createStep({ gang: true, taskCount: 2, tasksPerVmMaximum: 1 })] });
  const [one, other] = placeTasks(state, 0).started;
  assert.ok(one !== undefined && other !== undefined);
  first = one;
  second = other;
});

function list({ task, run, vm }: RunRecord, checkpoint: string, now: number): void {
  const running = [{ taskId: task.id, run, checkpoint, percent: 10, reading: 0 }];
  assert.ok(sendReport(state, vm, { session: vm.session, running }, now));
}

function crash(vm: VmRecord, now: number): void {
  assert.ok(vm.announcement !== null);
  const announcement = { ...vm.announcement, bornWallMs: vm.announcement.bornWallMs + now };
  sendReport(state, vm, { session: vm.session, vm: announcement, running: [] }, now);
}

test('starts all members from one checkpoint after a crash between their lists', () => {
  list(first, '12000', 100);
  list(second, '12000', 150);
  list(first, '14000', 600);
  crash(first.vm, 700);
  crash(second.vm, 700);
  const checkpoints = placeTasks(state, 1_000).started.map((run) => run.startCheckpoint);
  assert.deepEqual(checkpoints, ['14000', '14000']);
});

test('keeps the latest checkpoint when a member lists its earlier one again', () => {
  list(first, '12000', 100);
  list(second, '12000', 150);
  list(first, '14000', 600);
  list(second, '12000', 650);
  assert.deepEqual(first.task.checkpoint, '14000');
});

test('starts a member whose order is sent late from the checkpoint of the others', () => {
  list(first, '12000', 100);
  crash(first.vm, 200);
  crash(second.vm, 200);
  const [one, other] = placeTasks(state, 1_000).started;
  assert.ok(one !== undefined && other !== undefined);
  list(one, '14000', 1_500);
  assert.equal(other.startCheckpoint, '12000');
});
