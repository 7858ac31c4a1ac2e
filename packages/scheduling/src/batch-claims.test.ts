/**
 * Guards against long-running tasks that take the room of batch jobs of the same urgency piece by piece, whenever
 * one of their tasks ends, until batch jobs find no room; and against room that is withheld from long-running tasks
 * although batch jobs leave it unused.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobState } from '@figjunction/types';
import {
  LESS_URGENT_POLICY,
  POLICY,
  addJob,
  addVm,
  createState,
  createStep,
} from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { simulateMixedLoad } from './load-simulation.js';
import type { JobOutcome } from './load-simulation.js';
import { restoreProgress } from './progress-row.js';
import { placeTasks } from './place.js';

const URGENT_POLICY = { ...POLICY, priority: 0, slackFactor: 1.5, objectiveMs: 400 };
/** Batch jobs need about a tenth of the processor capacity; long-running jobs would take all of it. */
const LOAD = {
  jobCount: 250,
  vmCount: 24,
  meanTaskCount: 7,
  intervalMs: 240,
  policy: URGENT_POLICY,
};
const LONG_RUNNING = { initialJobCount: 4, intervalMs: 1_000, tasksPerJob: 24 };
const SEEDS = [1, 2, 3, 4, 5];
/** The users' gate asks for this share of each class on days without trouble. */
const CLASS_FLOOR = 0.4;
/** Batch jobs claim no more than twice what they need. */
const LONG_RUNNING_SHARE_MINIMUM = 0.8;
/** From an unused claim to its end. The 3 s that users allow for a start are for tasks that have run before. */
const LONGEST_CLAIM_MS = 5_000;

function shareInTime(jobs: JobOutcome[]): number {
  const inTime = jobs.filter(
    ({ tookMs, shortestMs }) =>
      tookMs !== null &&
      tookMs <= URGENT_POLICY.slackFactor * shortestMs + URGENT_POLICY.objectiveMs,
  );
  return inTime.length / jobs.length;
}

for (const seed of SEEDS) {
  test(`serves batch jobs in time beside long-running jobs that would fill the cell, seed ${seed}`, () => {
    const { jobs, longRunningShare } = simulateMixedLoad({
      ...LOAD,
      seed,
      longRunning: LONG_RUNNING,
    });
    const inTime = shareInTime(jobs);
    assert.ok(inTime >= CLASS_FLOOR, `${inTime} in time`);
    assert.ok(longRunningShare >= LONG_RUNNING_SHARE_MINIMUM, `${longRunningShare} of the room`);
  });
}

const LONG_STEP = createStep({
  resources: { processorMillicores: 3_000, memoryMegabytes: 100, accelerators: 0 },
  longRunning: true,
});

/** One VM with four cores, of which a batch job of the same urgency has just held two. */
function createStateWithClaim(): CellState {
  const state = createState();
  addVm(state);
  const job = addJob(state, { id: 'batch', steps: [createStep({ taskCount: 2 })] });
  assert.equal(placeTasks(state, 0).started.length, 2);
  addJob(state, { id: 'watch', steps: [LONG_STEP] });
  const occurrence = job.occurrences.get(0);
  assert.ok(occurrence);
  occurrence.steps[0]?.tasks.forEach(({ runs }) => runs.forEach((run) => state.removeRun(run, 10)));
  state.finishOccurrence(occurrence, JobState.Completed, 10);
  return state;
}

test('leaves the room that a batch job held a moment ago to batch jobs', () => {
  const state = createStateWithClaim();
  assert.equal(placeTasks(state, 100).started.length, 0);
  assert.equal(placeTasks(state, 1_000).started.length, 0);
});

test('starts a long-running task on room that batch jobs have left unused', () => {
  const state = createStateWithClaim();
  let startedAt: number | null = null;
  for (let now = 100; now <= LONGEST_CLAIM_MS && startedAt === null; now += 100) {
    startedAt = placeTasks(state, now).started.length > 0 ? now : null;
  }
  assert.ok(startedAt !== null, `not started by ${LONGEST_CLAIM_MS} ms`);
});

test('starts a long-running task at once beside batch jobs if there is room for both', () => {
  const state = createStateWithClaim();
  addVm(state, 'vm-2');
  assert.equal(placeTasks(state, 100).started.length, 1);
});

test('claims no room for batch jobs that are less urgent than the long-running task', () => {
  const state = createState();
  addVm(state);
  const steps = [createStep({ taskCount: 2 })];
  const job = addJob(state, { id: 'batch', steps, policy: LESS_URGENT_POLICY });
  placeTasks(state, 0);
  const occurrence = job.occurrences.get(0);
  assert.ok(occurrence);
  occurrence.steps[0]?.tasks.forEach(({ runs }) => runs.forEach((run) => state.removeRun(run, 10)));
  addJob(state, { id: 'watch', steps: [LONG_STEP] });
  const [run] = placeTasks(state, 100).started;
  assert.equal(run?.task.step.occurrence.job.id, 'watch');
});

test('limits no task that has run under an earlier scheduler', () => {
  const state = createStateWithClaim();
  const occurrence = state.jobs.get('watch')?.occurrences.get(0);
  assert.ok(occurrence);
  const runners = ['vm-of-before'];
  const row = { state: JobState.Running, done: ['0'], failures: {}, runners };
  restoreProgress(occurrence, row);
  assert.equal(placeTasks(state, 100).started.length, 1);
});
