/**
 * Guards against starts on a VM whose capacity has shrunk below its runs: a task that takes nothing of what is
 * exceeded seems to fit, and freed room seems to suffice for the task that it was freed for.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StepSpecification } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import {
  LESS_URGENT_POLICY,
  addJob,
  addVm,
  createAnnouncement,
  createState,
  createStep,
  sendReport,
} from './cell-fixture.js';
import { placeTasks } from './place.js';
import { preemptBatchRuns } from './preempt.js';
import { RunPhase } from './records.js';
import type { RunRecord, VmRecord } from './records.js';
import { relocateSlowRuns } from './relocate.js';
import { computeUnusedCapacity } from './room.js';

const SHRUNK_MILLICORES = 2_000;
const OTHER_JOB = '00000000000000bb';
const FILLER = { fills: true, image: 'menus' };
/** Serving tasks leave some of their processor time unused, which filler tasks may use. */
const SERVING = { longRunning: true, latencyTargetMs: 100 };
const LONG_TASK = {
  longRunning: true,
  resources: { processorMillicores: 1_500, memoryMegabytes: 100, accelerators: 0 },
};

/** A VM with four runs of one core each that shrinks from four cores. */
function createShrunkVm(
  step: Partial<StepSpecification> = {},
  processorMillicores = SHRUNK_MILLICORES,
): { state: CellState; vm: VmRecord } {
  const state = createState();
  const vm = addVm(state);
  addJob(state, {
    steps: [createStep({ taskCount: 4, ...step })],
    policy: LESS_URGENT_POLICY,
  });
  placeTasks(state, 0).started.forEach((run) => {
    run.phase = RunPhase.Running;
    run.isSent = true;
  });
  const capacity = { processorMillicores, memoryMegabytes: 1_000, accelerators: 0 };
  const announcement = createAnnouncement({ instanceId: 'instance-of-vm-1', capacity });
  sendReport(state, vm, { session: 1, running: null, vm: announcement }, 100);
  assert.equal(computeUnusedCapacity(vm).processorMillicores, processorMillicores - 4_000);
  return { state, vm };
}

test('places no filler task on a VM that is over its capacity', () => {
  const { state } = createShrunkVm();
  addJob(state, { id: OTHER_JOB, steps: [createStep(FILLER)] });
  assert.equal(placeTasks(state, 200).started.length, 0);
});

test('places no gang without processor demand on a VM that is over its capacity', () => {
  const { state } = createShrunkVm();
  const resources = { processorMillicores: 0, memoryMegabytes: 1, accelerators: 0 };
  addJob(state, { id: OTHER_JOB, steps: [createStep({ gang: true, taskCount: 2, resources })] });
  assert.equal(placeTasks(state, 200).started.length, 0);
});

test('moves no slow run to a VM that is over its capacity', () => {
  const { state, vm } = createShrunkVm(SERVING, 3_500);
  vm.pressureAllowance = 10;
  const other = addVm(state, 'vm-2', {
    capacity: { processorMillicores: 1_000, memoryMegabytes: 1_000, accelerators: 0 },
  });
  addJob(state, { id: OTHER_JOB, steps: [createStep(SERVING)] });
  placeTasks(state, 200);
  assert.equal(other.servingCount, 1);
  const filler = { ...FILLER, resources: { ...LONG_TASK.resources, processorMillicores: 400 } };
  addJob(state, { id: '00000000000000cc', steps: [createStep(filler)] });
  const [slow] = placeTasks(state, 200).started as [RunRecord];
  assert.equal(slow.vm, other);
  slow.phase = RunPhase.Running;
  assert.deepEqual(relocateSlowRuns(state, 10_000), []);
});

test('frees as much on a shrunk VM as a long-running task needs, and starts it only then', () => {
  const { state, vm } = createShrunkVm();
  addJob(state, { id: OTHER_JOB, steps: [createStep(LONG_TASK)] });
  const stopped = preemptBatchRuns(state, placeTasks(state, 1_000).unplaced, 1_000);
  assert.equal(stopped.length, 4);
  stopped.slice(0, 3).forEach((run) => state.removeRun(run, 1_100));
  assert.equal(placeTasks(state, 1_100).started.length, 0);
  stopped.slice(3).forEach((run) => state.removeRun(run, 1_200));
  const { started } = placeTasks(state, 1_200);
  assert.deepEqual(
    started.map(({ task }) => task.step.specification.longRunning),
    [true],
  );
  assert.ok(computeUnusedCapacity(vm).processorMillicores >= 0);
});
