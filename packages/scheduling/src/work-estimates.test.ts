/**
 * Guards against an order of jobs that rests on wrong estimates although their first tasks have shown what the others
 * take, so that fewer jobs are served in time.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { addJob, addVm, createState, createStep, sendReport } from './cell-fixture.js';
import { simulateFillingLoad } from './filling-simulation.js';
import { placeTasks } from './place.js';
import { Timeliness, computeTimeliness } from './rank.js';
import type { StepRecord } from './records.js';

const SEEDS = [1, 2, 3, 4, 5];
/** Estimates that come with jobs may be off by this factor, either way. */
const ESTIMATE_FACTOR_MAXIMUM = 6;
const SHARE_OF_EXACT_MINIMUM = 0.8;
const CAPACITY = { processorMillicores: 0, memoryMegabytes: 64_000, accelerators: 0 };

function shareInTime(intervalMs: number, estimateFactorMaximum: number): number {
  const load = { jobCount: 40, vmCount: 18, intervalMs, estimateFactorMaximum };
  const outcomes = SEEDS.flatMap((seed) => simulateFillingLoad({ ...load, seed }));
  const inTime = outcomes.filter(
    ({ tookMs, objectiveMs }) => tookMs !== null && tookMs <= objectiveMs,
  );
  return inTime.length / outcomes.length;
}

for (const intervalMs of [1_500, 1_100, 800]) {
  test(`serves four fifths of what exact estimates would although they are wrong, a job each ${intervalMs} ms`, () => {
    const exact = shareInTime(intervalMs, 1);
    const wrong = shareInTime(intervalMs, ESTIMATE_FACTOR_MAXIMUM);
    assert.ok(wrong >= SHARE_OF_EXACT_MINIMUM * exact, `${wrong} in time, ${exact} if exact`);
  });
}

/** A job of two tasks, of which only the first fits; with 30 % of it done after a second. */
function createBegunStep(estimateMs: number, reading: number, checkpoint = ''): StepRecord {
  const state = createState();
  const vm = addVm(state);
  const resources = { processorMillicores: 3_000, memoryMegabytes: 100, accelerators: 0 };
  const steps = [createStep({ taskCount: 2, estimateMs, resources, fills: true })];
  const [step] = addJob(state, { steps }).occurrences.get(0)?.steps ?? [];
  assert.ok(step !== undefined);
  for (const task of step.tasks) {
    task.checkpoint = checkpoint;
  }
  const [run] = placeTasks(state, 0).started;
  assert.ok(run !== undefined);
  const reference = { taskId: run.task.id, run: run.run };
  const answers = [{ ...reference, attempt: run.attempt, refusal: null }];
  sendReport(state, vm, { session: vm.session, running: null, answers }, 0);
  const running = [{ ...reference, checkpoint, percent: 30, reading }];
  sendReport(state, vm, { session: vm.session, running }, 1_000);
  return step;
}

test('takes a job for late whose first task shows that the others take longer than estimated', () => {
  const step = createBegunStep(300, 3_000);
  assert.ok(step.taskMs > 1_500);
  assert.equal(step.criticalPathMs, step.taskMs);
  assert.equal(step.occurrence.work, 2 * 3 * step.taskMs);
});

test('takes a job for timely whose first task shows that the others take less than estimated', () => {
  const step = createBegunStep(20_000, 3_000);
  assert.ok(step.taskMs < 15_000);
});

test('does not take a task that is slowed down for one that takes long', () => {
  assert.equal(createBegunStep(300, 1_000).taskMs, 300);
});

test('does not count the work that a checkpoint has saved as done by the run', () => {
  assert.equal(createBegunStep(300, 3_000, 'saved').taskMs, 300);
});

test('keeps the estimate of a long-running step, whose tasks do not end', () => {
  const state = createState();
  const vm = addVm(state);
  const [step] =
    addJob(state, { steps: [createStep({ longRunning: true })] }).occurrences.get(0)?.steps ?? [];
  assert.ok(step !== undefined);
  const [run] = placeTasks(state, 0).started;
  assert.ok(run !== undefined);
  const row = { taskId: run.task.id, run: run.run, checkpoint: '', percent: 100, reading: 5 };
  for (const now of [0, 1_000]) {
    sendReport(state, vm, { session: vm.session, running: [row] }, now);
  }
  assert.equal(step.taskMs, step.specification.estimateMs);
  assert.equal(computeTimeliness(state, step, 0), Timeliness.OnTime);
});

test('gives room to the last task of a job whose others run rather than to a job that needs more room', () => {
  const state = createState();
  addVm(state, 'vm-1', { capacity: { ...CAPACITY, processorMillicores: 9_000 } });
  addJob(state, { id: 'begun', steps: [createStep({ taskCount: 10 })] });
  assert.equal(placeTasks(state, 0).started.length, 9);
  addJob(state, { id: 'new', steps: [createStep({ taskCount: 2 })] });
  addVm(state, 'vm-2', { capacity: { ...CAPACITY, processorMillicores: 1_000 } });
  const [run] = placeTasks(state, 100).started;
  assert.equal(run?.task.step.occurrence.job.id, 'begun');
});
