/**
 * Guards against tasks that run twice, ends that are counted twice or not at all, and lost runs, when runners,
 * VMs and schedulers restart or leave.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobState, RunEnding, StartRefusal } from '@figjunction/types';
import {
  addJob,
  addVm,
  createAnnouncement,
  createState,
  createStep,
  sendReport,
} from './cell-fixture.js';
import { createOccurrence } from './job-table.js';
import { encodeProgress, restoreProgress } from './progress-row.js';
import { expireVmLeases } from './lease-expiry.js';
import { placeTasks } from './place.js';
import { RunPhase } from './records.js';
import type { OccurrenceRecord, RunRecord } from './records.js';
import { estimateWaitingWork } from './work-estimates.js';

const TASK = '00000000000000aa.0.0.0';

function startOne(steps = [createStep()]) {
  const state = createState();
  const vm = addVm(state);
  const job = addJob(state, { steps });
  const run = placeTasks(state, 0).started[0] as RunRecord;
  return { state, vm, run, occurrence: job.occurrences.get(0) as OccurrenceRecord };
}

function end(sequence: number, run: number, ending: RunEnding) {
  return { sequence, taskId: TASK, run, ending, checkpoint: '' };
}

test('counts a failed run once when its end is reported again to the next scheduler', () => {
  const { state, vm, occurrence } = startOne();
  sendReport(state, vm, { session: 1, ended: [end(1, 1, RunEnding.Failed)] });
  const stored = encodeProgress(occurrence, state.unreportedVms);

  const next = createState();
  const nextVm = next.addVm('vm-1', vm.address);
  const nextJob = addJob(next, { steps: [createStep()] });
  const nextOccurrence = nextJob.occurrences.get(0) as OccurrenceRecord;
  restoreProgress(nextOccurrence, stored);
  sendReport(next, nextVm, { ended: [end(1, 1, RunEnding.Failed)], vm: vm.announcement });
  assert.notEqual(nextOccurrence.state, JobState.Failed);
  sendReport(next, nextVm, { session: 1, ended: [end(2, 1_001, RunEnding.Failed)] });
  assert.equal(nextOccurrence.state, JobState.Failed);
});

test('opens no session for a report without a list of runs', () => {
  const { state, vm } = startOne();
  assert.equal(sendReport(state, vm, { processId: 'process-2', running: null }), false);
  assert.equal(vm.runs.size, 1);
});

test('removes the runs of a VM that has left', () => {
  const { state, vm } = startOne();
  sendReport(state, vm, { session: 1, vm: null, running: null, processId: 'process-1' });
  sendReport(state, vm, { session: 0, vm: null, running: null, processId: 'process-1' });
  assert.equal(vm.runs.size, 0);
  assert.equal(placeTasks(state, 0).started.length, 0);
});

test('restarts a task on another VM only after the latest possible expiry of the lease', () => {
  const { state, vm } = startOne();
  addVm(state, 'vm-2');
  vm.leaseExpiresAt = 1_000;
  expireVmLeases(state, 999);
  assert.equal(placeTasks(state, 999).started.length, 0);
  expireVmLeases(state, 1_000);
  const [second] = placeTasks(state, 1_000).started;
  assert.deepEqual([second?.vm.id, second?.run], ['vm-2', 2]);
});

test('applies ends that are reported after the lease has expired', () => {
  const { state, vm, occurrence } = startOne();
  vm.leaseExpiresAt = 1_000;
  expireVmLeases(state, 1_000);
  sendReport(state, vm, { session: 1, ended: [end(1, 1, RunEnding.Done)] }, 1_100);
  assert.equal(occurrence.steps[0]?.doneCount, 1);
  assert.equal(vm.lastEndSequence, 1);
});

test('removes the runs of an earlier incarnation of the VM', () => {
  const { state, vm } = startOne();
  const restarted = createAnnouncement({ instanceId: 'instance-of-vm-1', bornWallMs: 2_000 });
  sendReport(state, vm, { session: 1, vm: restarted });
  assert.equal(vm.runs.size, 0);
  assert.equal(placeTasks(state, 0).started[0]?.run, 2);
});

test('adopts a run of an earlier scheduler instead of starting the task again', () => {
  const state = createState();
  const vm = state.addVm('vm-1', 'http://127.0.0.1:1');
  addJob(state, { steps: [createStep()] });
  const running = [{ taskId: TASK, run: 3, checkpoint: 'c', percent: 50, reading: 0 }];
  sendReport(state, vm, { running, vm: createAnnouncement() });
  assert.equal(placeTasks(state, 0).started.length, 0);
  assert.equal(vm.runs.size, 1);
});

test('records a run without an unfinished task as an orphan until it ends', () => {
  const state = createState();
  const vm = addVm(state);
  const running = [{ taskId: 'unknown.0.0.0', run: 1, checkpoint: '', percent: 0, reading: 0 }];
  sendReport(state, vm, { session: 1, running });
  assert.deepEqual([...vm.orphans.keys()], ['unknown.0.0.0#1']);
  const ended = [{ ...end(1, 1, RunEnding.Stopped), taskId: 'unknown.0.0.0' }];
  sendReport(state, vm, { session: 1, ended });
  assert.equal(vm.orphans.size, 0);
});

test('resends unconfirmed orders to a restarted runner and removes the runs it does not list', () => {
  const { state, vm, run } = startOne([createStep({ taskCount: 2 })]);
  run.phase = RunPhase.Running;
  const [, ordered] = [...vm.runs.values()];
  (ordered as RunRecord).sendAt = 9_000;
  sendReport(state, vm, { processId: 'process-2', running: [] }, 500);
  assert.deepEqual([...vm.runs.values()], [ordered]);
  assert.equal(ordered?.sendAt, 500);
});

test('starts no task elsewhere whose stopped run an earlier call of the restarted runner can still start', () => {
  const { state, vm, run } = startOne();
  addVm(state, 'vm-2');
  run.isSent = true;
  state.orderStop(run, 0);
  sendReport(state, vm, { processId: 'process-2', running: [] }, 500);
  assert.equal(run.sendAt, 500);
  assert.equal(placeTasks(state, 500).started.length, 0);
  const answers = [{ taskId: TASK, run: 1, attempt: 0, refusal: StartRefusal.Superseded }];
  sendReport(state, vm, { session: 2, processId: 'process-2', running: null, answers }, 600);
  assert.equal(placeTasks(state, 600).started.length, 1);
});

test('restarts a refused task under a higher run number after the backoff', () => {
  const { state, vm, run } = startOne();
  run.attempt = 1;
  const answers = [{ taskId: TASK, run: 1, attempt: 1, refusal: StartRefusal.NoRoom }];
  sendReport(state, vm, { session: 1, answers });
  assert.equal(placeTasks(state, 0).started.length, 0);
  assert.equal(placeTasks(state, 1_000).started[0]?.run, 2);
});

test('removes a run only when the last sending of its order is refused', () => {
  const { state, vm, run } = startOne();
  run.attempt = 2;
  const answer = { taskId: TASK, run: 1, refusal: StartRefusal.NoRoom };
  sendReport(state, vm, { session: 1, running: null, answers: [{ ...answer, attempt: 1 }] });
  assert.deepEqual([...vm.runs.values()], [run]);
  sendReport(state, vm, { session: 1, running: null, answers: [{ ...answer, attempt: 2 }] });
  assert.equal(vm.runs.size, 0);
});

test('confirms a run by the answer to any sending of its order', () => {
  const { state, vm, run } = startOne();
  run.attempt = 2;
  const answers = [{ taskId: TASK, run: 1, attempt: 1, refusal: null }];
  sendReport(state, vm, { session: 1, running: null, answers });
  assert.equal(run.phase, RunPhase.Running);
});

test('keeps an adopted run when an order of an earlier scheduler for it was refused', () => {
  const state = createState();
  const vm = state.addVm('vm-1', 'http://127.0.0.1:1');
  addJob(state, { steps: [createStep()] });
  const running = [{ taskId: TASK, run: 3, checkpoint: 'c', percent: 50, reading: 0 }];
  sendReport(state, vm, { running, vm: createAnnouncement() });
  const answers = [{ taskId: TASK, run: 3, attempt: 1, refusal: StartRefusal.NoRoom }];
  sendReport(state, vm, { session: vm.session, running: null, answers });
  assert.equal(vm.runs.size, 1);
});

test('stores all VMs that may hold runs, including unreported ones', () => {
  const { state, occurrence } = startOne();
  occurrence.storedVms = new Set(['vm-2', 'vm-3']);
  state.unreportedVms.set('vm-3', 5_000);
  assert.deepEqual(encodeProgress(occurrence, state.unreportedVms).runners.sort(), [
    'vm-1',
    'vm-3',
  ]);
});

test('restores stored progress', () => {
  const { state, vm, occurrence } = startOne([createStep({ taskCount: 3 })]);
  sendReport(state, vm, { session: 1, ended: [end(1, 1, RunEnding.Done)] });
  const row = encodeProgress(occurrence, state.unreportedVms);
  assert.deepEqual(row.done, ['100']);
  const copy = createOccurrence(occurrence.job, 0, 0, 0);
  restoreProgress(copy, row);
  assert.deepEqual(
    copy.steps[0]?.tasks.map(({ done }) => done),
    [true, false, false],
  );
  assert.equal(estimateWaitingWork(copy), (occurrence.work * 2) / 3);
});
