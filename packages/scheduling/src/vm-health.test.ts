/**
 * Guards against a faulty VM that uses up the attempts of many jobs, and against stalled runs.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Instant } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import { POLICY, addJob, addVm, createState, createStep, sendReport } from './cell-fixture.js';
import { placeTasks } from './place.js';
import { RunPhase } from './records.js';
import type { RunRecord } from './records.js';
import { stopStalledRuns } from './stall.js';

test('places no runs on a VM after runs of two jobs failed there', () => {
  const state = createState();
  const vm = addVm(state);
  ['job-a', 'job-b', 'job-c'].forEach((id) => addJob(state, { id, steps: [createStep()] }));
  const runs = placeTasks(state, 0).started;
  runs.slice(0, 2).forEach(({ task }, index) =>
    sendReport(state, vm, {
      session: 1,
      ended: [
        {
          sequence: index + 1,
          taskId: task.id,
          run: 1,
          ending: RunEnding.Failed,
          checkpoint: '',
        },
      ],
    }),
  );
  assert.equal(placeTasks(state, 10).started.length, 0);
  addVm(state, 'vm-2');
  assert.deepEqual([...new Set(placeTasks(state, 20).started.map((run) => run.vm.id))], ['vm-2']);
});

test('places no runs on a VM that does not answer its runner until it answers again', () => {
  const state = createState();
  const vm = addVm(state);
  addJob(state, { steps: [createStep()] });
  sendReport(state, vm, { session: 1, running: null, silentMs: 1_000 });
  assert.equal(placeTasks(state, 0).started.length, 0);
  // One call without a response, as on a VM that fails some of its calls.
  sendReport(state, vm, { session: 1, running: null, silentMs: 300 });
  assert.equal(placeTasks(state, 0).started.length, 1);
});

test('does not suspect a VM when all failures belong to one job', () => {
  const state = createState();
  const vm = addVm(state);
  const policy = { ...addJob(createState(), { steps: [createStep()] }).policy, attemptsMaximum: 9 };
  addJob(state, { steps: [createStep({ taskCount: 4 })], policy });
  placeTasks(state, 0).started.forEach(({ task }, index) => {
    const failed = { taskId: task.id, run: 1, ending: RunEnding.Failed, checkpoint: '' };
    sendReport(state, vm, { session: 1, ended: [{ sequence: index + 1, ...failed }] });
  });
  assert.equal(placeTasks(state, 10).started.length, 4);
});

function startListedRun() {
  const state = createState();
  const vm = addVm(state);
  addJob(state, { steps: [createStep()] });
  const run = placeTasks(state, 0).started[0] as RunRecord;
  Object.assign(run, { phase: RunPhase.Running, isSent: true });
  const list = (now: Instant, percent: number): void => {
    const entry = { taskId: run.task.id, run: 1, checkpoint: '', percent, reading: 0 };
    sendReport(state, vm, { session: 1, running: [entry] }, now);
  };
  return { state, run, list };
}

test('stops a run that the lists of its VM show without progress', () => {
  const { state, run, list } = startListedRun();
  list(500, 0);
  list(1_000, 0);
  assert.equal(stopStalledRuns(state, 1_000).length, 0);
  list(1_500, 0);
  list(2_000, 0);
  assert.deepEqual(stopStalledRuns(state, 2_000), [run]);
  assert.equal(run.phase, RunPhase.Stopping);
});

test('stops no run of a VM whose reports are late', () => {
  const { state, run, list } = startListedRun();
  list(500, 30);
  assert.equal(stopStalledRuns(state, 4_500).length, 0);
  list(4_600, 30);
  assert.equal(stopStalledRuns(state, 4_600).length, 0);
  list(5_100, 35);
  assert.equal(stopStalledRuns(state, 5_200).length, 0);
  assert.equal(run.phase, RunPhase.Running);
});

const POISON_JOBS = 2;
const BACKOFF_MS = 2_000;
/** Within this time after the last failure, nothing on a VM may be held back because of failures. */
const HELD_BACK_MAXIMUM_MS = 4_000;

/** A VM with room for 64 small tasks, on which a long-running task runs and one run of each of some jobs has failed. */
function createSuspectVm(failedAt: Instant) {
  const state = createState();
  const capacity = { processorMillicores: 64_000, memoryMegabytes: 6_400, accelerators: 0 };
  const vm = addVm(state, 'vm-1', { capacity });
  addJob(state, { id: 'watch', steps: [createStep({ longRunning: true })] });
  const policy = { ...POLICY, attemptsMaximum: 1 };
  for (let index = 0; index < POISON_JOBS; index += 1) {
    addJob(state, { id: `poison-${index}`, steps: [createStep()], policy });
  }
  const poisoned = placeTasks(state, 0).started.filter(({ task }) => task.id.startsWith('poison'));
  let sequence = 0;
  const end = (run: RunRecord, ending: RunEnding, now: Instant): void => {
    sequence += 1;
    const ended = { sequence, taskId: run.task.id, run: run.run, ending, checkpoint: '' };
    sendReport(state, vm, { session: 1, ended: [ended] }, now);
  };
  poisoned.forEach((run) => end(run, RunEnding.Failed, failedAt));
  return { state, vm, end };
}

test('starts tasks on a VM with a long-running task after runs of two jobs failed there', () => {
  const { state } = createSuspectVm(0);
  addJob(state, { id: 'ordinary', steps: [createStep()] });
  assert.equal(placeTasks(state, BACKOFF_MS - 1).started.length, 0);
  assert.equal(placeTasks(state, BACKOFF_MS).started.length, 1);
});

for (const taskCount of [1, 2, 7, 63]) {
  test(`holds no task of ${taskCount} back for long although no run on the VM ends`, () => {
    const { state } = createSuspectVm(0);
    addJob(state, { id: 'ordinary', steps: [createStep({ taskCount })] });
    const started: RunRecord[] = [];
    for (let now = 0; now <= HELD_BACK_MAXIMUM_MS; now += 100) {
      started.push(...placeTasks(state, now).started);
    }
    assert.equal(started.length, taskCount);
  });
}

test('restarts a long-running task beside others on a VM on which runs of jobs failed', () => {
  const { state, vm, end } = createSuspectVm(0);
  addJob(state, { id: 'second', steps: [createStep({ longRunning: true })] });
  addJob(state, { id: 'long', steps: [createStep({ taskCount: 1, estimateMs: 60_000 })] });
  placeTasks(state, BACKOFF_MS);
  const watch = [...vm.runs.values()].find(({ task }) => task.id.startsWith('watch')) as RunRecord;
  end(watch, RunEnding.Failed, BACKOFF_MS);
  const { started } = placeTasks(state, BACKOFF_MS + 100);
  assert.deepEqual(
    started.map(({ task }) => task.id),
    ['watch.0.0.0'],
  );
});

test('prolongs no backoff by failures of runs that were placed before it', () => {
  const state = createState();
  const vm = addVm(state);
  const policy = { ...POLICY, attemptsMaximum: 9 };
  ['job-a', 'job-b', 'job-c'].forEach((id) => addJob(state, { id, steps: [createStep()], policy }));
  placeTasks(state, 0).started.forEach(({ task }, index) => {
    const failed = { taskId: task.id, run: 1, ending: RunEnding.Failed, checkpoint: '' };
    sendReport(state, vm, { session: 1, ended: [{ sequence: index + 1, ...failed }] }, index * 900);
  });
  // The second failure, at 900 ms, made the VM suspect.
  assert.equal(placeTasks(state, 900 + BACKOFF_MS).started.length, 1);
});

test('places one run on a suspect VM, and none after that has failed until its backoff ends', () => {
  const { state, end } = createSuspectVm(0);
  const policy = { ...POLICY, attemptsMaximum: 9 };
  addJob(state, { id: 'third', steps: [createStep({ taskCount: 20 })], policy });
  const [probe] = placeTasks(state, BACKOFF_MS).started as [RunRecord];
  assert.equal(placeTasks(state, BACKOFF_MS + 100).started.length, 0);
  end(probe, RunEnding.Failed, BACKOFF_MS + 100);
  assert.equal(placeTasks(state, 2 * BACKOFF_MS + 99).started.length, 0);
  const [second] = placeTasks(state, 2 * BACKOFF_MS + 100).started as [RunRecord];
  end(second, RunEnding.Done, 2 * BACKOFF_MS + 200);
  assert.equal(placeTasks(state, 2 * BACKOFF_MS + 200).started.length, 19);
});

test('prefers a VM without failures for a long-running task', () => {
  const { state } = createSuspectVm(0);
  addVm(state, 'vm-2');
  addJob(state, { id: 'second', steps: [createStep({ longRunning: true })] });
  const [run] = placeTasks(state, BACKOFF_MS).started;
  assert.equal(run?.vm.id, 'vm-2');
});

test('starts tasks beside a job that may fail again and again and is placed first', () => {
  const { state, end } = createSuspectVm(0);
  const policy = { ...POLICY, attemptsMaximum: 1_000, priority: 0 };
  addJob(state, { id: 'stubborn', steps: [createStep({ taskCount: 40 })], policy });
  addJob(state, { id: 'ordinary', steps: [createStep()] });
  let startedAt: Instant | null = null;
  for (let now = 0; now <= 30_000; now += 100) {
    for (const run of placeTasks(state, now).started) {
      if (run.task.id.startsWith('ordinary')) {
        startedAt ??= now;
      } else {
        end(run, RunEnding.Failed, now + 50);
      }
    }
  }
  // Two failures of a task are evidence against the VM, each followed by a backoff.
  assert.ok(
    startedAt !== null && startedAt <= 3 * BACKOFF_MS + HELD_BACK_MAXIMUM_MS,
    `${startedAt}`,
  );
});
