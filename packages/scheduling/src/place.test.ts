/**
 * Guards against placements that exceed the capacity of a VM or break a placement rule, and against starts
 * before the steps that a step depends on are done.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { RunEnding, VmState } from '@figjunction/types';
import { recordAdvice } from './advice.js';
import {
  LESS_URGENT_POLICY,
  addJob,
  addVm,
  createState,
  createStep,
  sendReport,
} from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { placeTasks } from './place.js';
import { preemptBatchRuns } from './preempt.js';
import { RunPhase } from './records.js';
import type { RunRecord } from './records.js';

function started(state: CellState, now = 0): RunRecord[] {
  return placeTasks(state, now).started;
}

test('never exceeds the processor and memory capacity of a VM', () => {
  const step = fc.record({
    taskCount: fc.integer({ min: 1, max: 12 }),
    processorMillicores: fc.integer({ min: 100, max: 4_000 }),
    memoryMegabytes: fc.integer({ min: 10, max: 900 }),
  });
  fc.assert(
    fc.property(fc.array(step, { minLength: 1, maxLength: 8 }), (steps) => {
      const state = createState();
      const vms = ['vm-1', 'vm-2', 'vm-3'].map((id) => addVm(state, id));
      steps.forEach(({ taskCount, ...size }, index) => {
        const resources = { ...size, accelerators: 0 };
        addJob(state, { id: `job${index}`, steps: [createStep({ taskCount, resources })] });
      });
      placeTasks(state, 0);
      for (const vm of vms) {
        assert.ok(vm.used.processorMillicores <= 4_000);
        assert.ok(vm.used.memoryMegabytes <= 1_000);
      }
    }),
    { seed: 7 },
  );
});

test('starts a step only after all tasks of the steps that it depends on are done', () => {
  const state = createState();
  const vm = addVm(state);
  addJob(state, { steps: [createStep({ taskCount: 2 }), createStep({ after: [0] })] });
  const [first, second] = started(state);
  assert.equal(started(state).length, 0);
  const end = { ending: RunEnding.Done, checkpoint: '' };
  sendReport(state, vm, {
    session: 1,
    ended: [{ sequence: 1, taskId: first?.task.id ?? '', run: 1, ...end }],
  });
  assert.equal(started(state).length, 0);
  sendReport(state, vm, {
    session: 1,
    ended: [{ sequence: 2, taskId: second?.task.id ?? '', run: 1, ...end }],
  });
  assert.deepEqual(
    started(state).map(({ task }) => task.id),
    ['00000000000000aa.0.1.0'],
  );
});

const ineligibleCases: { name: string; prepare: (state: CellState) => void }[] = [
  {
    name: 'a draining VM',
    prepare: (state) => {
      addVm(state, 'vm-1', { state: VmState.Draining });
      addJob(state, { steps: [createStep()] });
    },
  },
  {
    name: 'a VM of another service',
    prepare: (state) => {
      addVm(state, 'vm-1', { service: 'planning' });
      addJob(state, { steps: [createStep()] });
    },
  },
  {
    name: 'a VM without the required label',
    prepare: (state) => {
      addVm(state);
      addJob(state, { steps: [createStep({ requiredLabel: 'b' })] });
    },
  },
  {
    name: 'any VM while an unreported VM may still run the job',
    prepare: (state) => {
      addVm(state);
      state.unreportedVms.set('vm-2', 5_000);
      addJob(state, { steps: [createStep()], storedVms: ['vm-2'] });
    },
  },
];
for (const { name, prepare } of ineligibleCases) {
  test(`starts no task on ${name}`, () => {
    const state = createState();
    prepare(state);
    assert.equal(started(state).length, 0);
  });
}

test('starts jobs whose stored rows list no unreported VM', () => {
  const state = createState();
  addVm(state);
  state.unreportedVms.set('vm-2', 5_000);
  addJob(state, { steps: [createStep()], storedVms: ['vm-1'] });
  assert.equal(started(state).length, 1);
});

test('respects the maximum number of tasks of a step per VM', () => {
  const state = createState();
  addVm(state, 'vm-1');
  addVm(state, 'vm-2');
  addJob(state, { steps: [createStep({ taskCount: 6, tasksPerVmMaximum: 2 })] });
  assert.equal(started(state).length, 4);
});

test('starts all tasks of a gang under one run number, or none', () => {
  const state = createState();
  addVm(state, 'vm-1');
  const job = addJob(state, { steps: [createStep({ taskCount: 6, gang: true })] });
  assert.equal(started(state).length, 0);
  addVm(state, 'vm-2');
  const gang = job.occurrences.get(0)?.steps[0]?.tasks ?? [];
  (gang[0] ?? { highestRunNumber: 0 }).highestRunNumber = 4;
  assert.deepEqual([...new Set(started(state).map(({ run }) => run))], [5]);
  assert.ok(gang.every(({ runs }) => runs.length === 1));
});

test('requires a valid ticket when the queue has advice', () => {
  const state = createState();
  addVm(state, 'vm-1');
  const advice = { decideMs: 1, eachVmMs: 1, validMs: 1_000 };
  const policy = { ...addJob(createState(), { steps: [createStep()] }).policy, advice };
  const job = addJob(state, { steps: [createStep({ taskCount: 2 })], policy });
  assert.equal(started(state).length, 0);
  const step = job.occurrences.get(0)?.steps[0];
  assert.ok(step !== undefined);
  const instanceKeys = ['instance-of-vm-1@1000'];
  const tickets = new Map([['instance-of-vm-1@1000', 'ticket-1']]);
  recordAdvice({ step, instanceKeys, tickets, ticketsExpireAt: 100, refusalsExpireAt: 100 });
  assert.equal(started(state, 101).length, 0);
  assert.deepEqual(
    started(state, 99).map(({ ticket }) => ticket),
    ['ticket-1', 'ticket-1'],
  );
});

test('preempts a batch run for an unplaced long-running task and reserves the freed capacity', () => {
  const state = createState();
  const vm = addVm(state);
  addJob(state, {
    id: 'batch',
    steps: [createStep({ taskCount: 4 })],
    policy: LESS_URGENT_POLICY,
  });
  started(state).forEach((run) => {
    run.phase = RunPhase.Running;
  });
  addJob(state, { id: 'watch', steps: [createStep({ longRunning: true })] });
  const { unplaced } = placeTasks(state, 1_000);
  const [victim] = preemptBatchRuns(state, unplaced, 1_000);
  assert.equal(victim?.task.step.occurrence.job.id, 'batch');
  assert.ok(victim !== undefined);
  state.removeRun(victim, 1_100);
  const placed = started(state, 1_100);
  assert.deepEqual(
    placed.map(({ task }) => task.step.occurrence.job.id),
    ['watch'],
  );
  assert.equal(vm.used.processorMillicores, 4_000);
});

test('preempts no batch run of the same urgency for a long-running task', () => {
  const state = createState();
  addVm(state);
  addJob(state, { id: 'batch', steps: [createStep({ taskCount: 4 })] });
  started(state).forEach((run) => {
    run.phase = RunPhase.Running;
  });
  addJob(state, { id: 'watch', steps: [createStep({ longRunning: true })] });
  const { unplaced } = placeTasks(state, 1_000);
  assert.equal(unplaced.length, 1);
  assert.deepEqual(preemptBatchRuns(state, unplaced, 1_000), []);
});

test('preempts a batch run of the same urgency for a long-running task that has run before', () => {
  const state = createState();
  addVm(state);
  addJob(state, { id: 'watch', steps: [createStep({ longRunning: true })] });
  const [run] = started(state);
  assert.ok(run);
  state.removeRun(run, 100);
  addJob(state, { id: 'batch', steps: [createStep({ taskCount: 4 })] });
  run.task.eligibleAt = 500;
  started(state, 400).forEach((batchRun) => {
    batchRun.phase = RunPhase.Running;
  });
  const { unplaced } = placeTasks(state, 1_000);
  const [victim] = preemptBatchRuns(state, unplaced, 1_000);
  assert.equal(victim?.task.step.occurrence.job.id, 'batch');
});

test('starts a long-running task that has run before ahead of batch jobs in time', () => {
  const state = createState();
  addVm(state);
  addJob(state, { id: 'watch', steps: [createStep({ longRunning: true })] });
  const [run] = started(state);
  assert.ok(run);
  addJob(state, { id: 'batch', steps: [createStep({ taskCount: 40 })] });
  state.removeRun(run, 100);
  const [first] = started(state, 200);
  assert.equal(first?.task, run.task);
});

test('places filler tasks beside serving tasks only when most of the other VMs is taken', () => {
  const state = createState();
  const vms = ['vm-1', 'vm-2', 'vm-3', 'vm-4'].map((id) => addVm(state, id));
  const serving = createStep({ longRunning: true, latencyTargetMs: 50, taskCount: 4 });
  addJob(state, { id: '00000000000000aa', steps: [serving] });
  placeTasks(state, 0);
  const servingVms = vms.filter(({ servingCount }) => servingCount > 0);
  assert.equal(servingVms.length, 1);
  const resources = { processorMillicores: 500, memoryMegabytes: 10, accelerators: 0 };
  const filler = createStep({ fills: true, image: 'menu', taskCount: 18, resources });
  addJob(state, { id: '00000000000000bb', steps: [filler] });
  const fillerRuns = started(state, 10);
  assert.equal(fillerRuns.length, 18);
  assert.ok(fillerRuns.every(({ vm }) => vm.servingCount === 0));
});
