/**
 * Guards against runs that are stopped, and room that is kept, for long-running tasks that could not use it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { QueuePolicy, StepSpecification } from '@figjunction/types';
import { recordAdvice } from './advice.js';
import {
  LESS_URGENT_POLICY,
  POLICY,
  addJob,
  addVm,
  createState,
  createStep,
} from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { placeTasks } from './place.js';
import { preemptBatchRuns } from './preempt.js';
import { RunPhase } from './records.js';
import type { StepRecord, VmRecord } from './records.js';
import { keepForTrial } from './trials.js';

const LATER = 1_000;

interface FullVm {
  state: CellState;
  vm: VmRecord;
  step: StepRecord;
}

/** A VM full of batch runs, and a long-running task that has waited for room. */
function createFullVm(changes: Partial<StepSpecification>, policy: QueuePolicy = POLICY): FullVm {
  const state = createState();
  const vm = addVm(state);
  const batch = [createStep({ taskCount: 4 })];
  addJob(state, { id: 'batch', steps: batch, policy: LESS_URGENT_POLICY });
  placeTasks(state, 0).started.forEach((run) => {
    run.phase = RunPhase.Running;
  });
  const job = addJob(state, {
    id: 'watch',
    steps: [createStep({ longRunning: true, ...changes })],
    policy,
  });
  const step = job.occurrences.get(0)?.steps[0];
  assert.ok(step !== undefined);
  return { state, vm, step };
}

function countStopped({ state }: FullVm): number {
  const { unplaced } = placeTasks(state, LATER);
  return preemptBatchRuns(state, unplaced, LATER).length;
}

test('stops no run for a task without a ticket for the VM, and one once it has a ticket', () => {
  const advice = { decideMs: 1, eachVmMs: 1, validMs: 1_000 };
  const cell = createFullVm({}, { ...POLICY, advice });
  assert.equal(countStopped(cell), 0);
  assert.equal(cell.vm.reservations.size, 0);
  const key = 'instance-of-vm-1@1000';
  const tickets = new Map([[key, 'ticket']]);
  const expiry = { ticketsExpireAt: LATER + 1, refusalsExpireAt: 0 };
  recordAdvice({ step: cell.step, instanceKeys: [key], tickets, ...expiry });
  assert.equal(countStopped(cell), 1);
});

test('stops no run on a VM that is kept for the trial of another task', () => {
  const cell = createFullVm({});
  const [run] = cell.vm.runs.values();
  assert.ok(run !== undefined);
  keepForTrial(cell.vm, run.task, LATER);
  assert.equal(countStopped(cell), 0);
  assert.equal(cell.vm.reservations.size, 0);
});

test('stops no run for a filler task that serving tasks on the VM would not bear', () => {
  const memory = { processorMillicores: 100, memoryMegabytes: 800, accelerators: 0 };
  const cell = createFullVm({ fills: true, image: 'heavy', resources: memory });
  cell.vm.servingCount = 1;
  cell.vm.pressureAllowance = 0;
  assert.equal(countStopped(cell), 0);
  cell.vm.pressureAllowance = 10;
  assert.ok(countStopped(cell) > 0);
});
