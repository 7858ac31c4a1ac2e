/**
 * Guards against a VM that fails everything using up the attempts of many jobs, and against stalled runs.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RunEnding } from '@figjunction/types';
import { addJob, addVm, createState, createStep, send } from './cell-fixture.js';
import { placeTasks } from './place.js';
import { RunPhase } from './records.js';
import { stopStalledRuns } from './stall.js';

test('cools a VM down after runs of two jobs have failed there', () => {
  const state = createState();
  const vm = addVm(state);
  ['job-a', 'job-b', 'job-c'].forEach((id) => addJob(state, { id, steps: [createStep()] }));
  const runs = placeTasks(state, 0).started;
  runs.slice(0, 2).forEach(({ task }, index) =>
    send(state, vm, {
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

test('does not suspect a VM for a job that can never be done', () => {
  const state = createState();
  const vm = addVm(state);
  const policy = { ...addJob(createState(), { steps: [createStep()] }).policy, attemptsMaximum: 9 };
  addJob(state, { steps: [createStep({ taskCount: 4 })], policy });
  placeTasks(state, 0).started.forEach(({ task }, index) => {
    const failed = { taskId: task.id, run: 1, ending: RunEnding.Failed, checkpoint: '' };
    send(state, vm, { session: 1, ended: [{ sequence: index + 1, ...failed }] });
  });
  assert.equal(placeTasks(state, 10).started.length, 4);
});

test('stops a run whose progress stands still', () => {
  const state = createState();
  addVm(state);
  addJob(state, { steps: [createStep()] });
  const [run] = placeTasks(state, 0).started;
  Object.assign(run ?? {}, { phase: RunPhase.Running, isSent: true });
  assert.equal(stopStalledRuns(state, 1_000).length, 0);
  assert.deepEqual(stopStalledRuns(state, 2_000), [run]);
  assert.equal(run?.phase, RunPhase.Stopping);
});
