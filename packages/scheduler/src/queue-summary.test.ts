/**
 * Guards against summaries that do not tell why the tasks of a queue wait, so that a lack of room, of memory and of
 * scheduling time look the same.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobState, RunEnding } from '@figjunction/types';
import { placeTasks } from '@figjunction/scheduling';
import type { CellState } from '@figjunction/scheduling';
import { addJob, addVm, createState, createStep } from '@figjunction/scheduling/cell-fixture';
import { QueueActivity } from './queue-activity.js';
import { summarizeQueues } from './queue-summary.js';

const LARGE = { processorMillicores: 3_000, memoryMegabytes: 100, accelerators: 0 };
const CAPACITY = { processorMillicores: 4_000, memoryMegabytes: 1_000, accelerators: 0 };

function summarizeObstacles(state: CellState, now = 0): unknown {
  placeTasks(state, now);
  return summarizeQueues(state, new Map(), now)[0]?.obstacles;
}

function createFullState(changes: Parameters<typeof createStep>[0]): CellState {
  const state = createState();
  addVm(state, 'vm-1', { capacity: CAPACITY });
  addJob(state, { id: '0', steps: [createStep({ resources: LARGE, longRunning: true })] });
  placeTasks(state, 0);
  addJob(state, { id: '1', steps: [createStep(changes)] });
  return state;
}

test('names the processor as the obstacle of a task that finds too little of it', () => {
  assert.deepEqual(summarizeObstacles(createFullState({ resources: LARGE })), { processor: 1 });
});

test('names the memory as the obstacle of a task that finds too little of it', () => {
  const resources = { processorMillicores: 500, memoryMegabytes: 950, accelerators: 0 };
  assert.deepEqual(summarizeObstacles(createFullState({ resources })), { memory: 1 });
});

test('tells processor and memory that are free on different VMs from a lack of either', () => {
  const state = createFullState({
    resources: { processorMillicores: 2_000, memoryMegabytes: 900, accelerators: 0 },
  });
  addVm(state, 'vm-2', { capacity: { ...CAPACITY, memoryMegabytes: 200 } });
  assert.deepEqual(summarizeObstacles(state), { processorBesideMemory: 1 });
});

test('names the lack of eligible VMs as the obstacle of a task whose label no VM has', () => {
  const state = createState();
  addVm(state);
  addJob(state, { steps: [createStep({ requiredLabel: 'gpu' })] });
  assert.deepEqual(summarizeObstacles(state), { noEligibleVm: 1 });
});

test('counts waiting tasks by what their jobs can still achieve', () => {
  const state = createState();
  addJob(state, { steps: [createStep({ taskCount: 3 })] });
  const summaryAt = (now: number) => summarizeQueues(state, new Map(), now)[0];
  assert.equal(summaryAt(0)?.waitingOnTime, 3);
  assert.equal(summaryAt(2_000)?.waitingLate, 3);
  assert.equal(summaryAt(20_000)?.waitingTooLate, 3);
});

test('tells the mean wait of starts and the pace of ended runs since the last summary', () => {
  const state = createState();
  addVm(state);
  addJob(state, { steps: [createStep({ estimateMs: 1_000 })] });
  const activity = new QueueActivity();
  const [run] = placeTasks(state, 400).started;
  assert.ok(run);
  activity.recordStart(run, 400);
  const { task } = run;
  const end = { sequence: 1, task, record: run, run: 1, ending: RunEnding.Done, checkpoint: '' };
  activity.recordEnd(end, run.runningSince + 1_500);
  const [summary] = summarizeQueues(state, activity.take(), 2_000);
  assert.equal(summary?.meanWaitedMs, 400);
  assert.equal(summary?.pace, 1.5);
  assert.equal(activity.take().size, 0);
});

test('writes no summary for a queue without active jobs', () => {
  const state = createState();
  const job = addJob(state, { steps: [createStep()] });
  const occurrence = job.occurrences.get(0);
  assert.ok(occurrence);
  state.finishOccurrence(occurrence, JobState.Completed, 0);
  assert.deepEqual(summarizeQueues(state, new Map(), 0), []);
});
