/**
 * Guards against tasks that start again although they have ended: a VM lists only some of its ends at a time, and a
 * new runner process or a new scheduler knows no others.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Instant } from '@figjunction/time';
import { JobState, RunEnding } from '@figjunction/types';
import type { EndedRun } from '@figjunction/types';
import {
  addJob,
  addVm,
  createAnnouncement,
  createState,
  createStep,
  sendReport,
} from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { expireVmLeases } from './lease-expiry.js';
import { placeTasks } from './place.js';
import { RunPhase } from './records.js';
import type { JobRecord, VmRecord } from './records.js';
import { stopStalledRuns } from './stall.js';

const LISTED_MAXIMUM = 500;
const LARGE = { processorMillicores: 1e9, memoryMegabytes: 1e9, accelerators: 0 };
const OTHER_PROCESS = 'process-2';

interface Scene {
  state: CellState;
  vm: VmRecord;
  job: JobRecord;
}

/** All tasks of the job run on the only VM. */
function createRunningJob(taskCount: number): Scene {
  const state = createState();
  const vm = addVm(state, 'vm-1', { capacity: LARGE });
  const job = addJob(state, { steps: [createStep({ taskCount })] });
  for (const run of placeTasks(state, 0).started) {
    Object.assign(run, { phase: RunPhase.Running, isSent: true });
  }
  return { state, vm, job };
}

function endsOf({ job }: Scene, ending = RunEnding.Done, run = 1): EndedRun[] {
  const tasks = job.occurrences.get(0)?.steps[0]?.tasks ?? [];
  return tasks.map(({ id }, index) => ({
    sequence: index + 1,
    taskId: id,
    run,
    ending,
    checkpoint: '',
  }));
}

/** A new runner process opens a session and reports the ends a list at a time. Returns the tasks that start again. */
function reportEndsInLists({ state, vm }: Scene, ends: EndedRun[], intervalMs: number): string[] {
  const again: string[] = [];
  let now: Instant = 1_000;
  for (let from = 0; from === 0 || from < ends.length; from += LISTED_MAXIMUM) {
    const ended = ends.slice(from, from + LISTED_MAXIMUM);
    const hasUnlistedEnds = ended.length === LISTED_MAXIMUM;
    const session = from === 0 ? 0 : vm.session;
    const report = { processId: OTHER_PROCESS, session, running: [], ended, hasUnlistedEnds };
    assert.ok(sendReport(state, vm, report, now));
    stopStalledRuns(state, now);
    again.push(...placeTasks(state, now).started.map(({ task }) => task.id));
    now += intervalMs;
  }
  return again;
}

for (const taskCount of [1, 499, 500, 501, 600, 1_000, 1_750]) {
  for (const intervalMs of [10, 3_000]) {
    test(`starts none of ${taskCount} tasks again that ended while no runner process was there, a list each ${intervalMs} ms`, () => {
      const scene = createRunningJob(taskCount);
      assert.deepEqual(reportEndsInLists(scene, endsOf(scene), intervalMs), []);
      assert.equal(scene.job.occurrences.get(0)?.state, JobState.Completed);
    });
  }
}

test('starts the tasks again whose runs are gone, once all ends are listed', () => {
  const scene = createRunningJob(700);
  const again = reportEndsInLists(scene, endsOf(scene).slice(0, 600), 10);
  assert.equal(again.length, 100);
});

test('starts a task again that failed among ends that were not listed at first', () => {
  const scene = createRunningJob(600);
  const ends = endsOf(scene);
  Object.assign(ends[550] as EndedRun, { ending: RunEnding.Stopped });
  assert.deepEqual(reportEndsInLists(scene, ends, 10), [ends[550]?.taskId]);
});

/** A scheduler that has taken over, to which the stored row names the VM as one that may run the tasks. */
function createSuccessor(taskCount: number): Scene {
  const state = createState();
  const vm = state.addVm('vm-1', 'http://127.0.0.1:1');
  state.unreportedVms.set(vm.id, 5_000);
  const job = addJob(state, {
    steps: [createStep({ taskCount })],
    storedVms: [vm.id],
    runNumberBase: 1_000,
  });
  // A second VM has room for all tasks.
  addVm(state, 'vm-2', { capacity: LARGE });
  vm.announcement = null;
  return { state, vm, job };
}

for (const taskCount of [500, 501, 1_200]) {
  test(`starts none of ${taskCount} tasks again that ended before a new scheduler and a new runner process came`, () => {
    const scene = createSuccessor(taskCount);
    const { state, vm } = scene;
    assert.equal(placeTasks(state, 900).started.length, 0);
    vm.announcement = createAnnouncement({ capacity: LARGE });
    vm.leaseExpiresAt = Number.POSITIVE_INFINITY;
    const lapse = (now: Instant): unknown => expireVmLeases(state, now);
    const ends = endsOf(scene);
    const first = ends.slice(0, LISTED_MAXIMUM);
    const opening = { processId: OTHER_PROCESS, running: [], ended: first, hasUnlistedEnds: true };
    sendReport(state, vm, opening, 1_000);
    lapse(6_000);
    assert.equal(placeTasks(state, 6_000).started.length, 0);
    for (let from = LISTED_MAXIMUM; from <= taskCount; from += LISTED_MAXIMUM) {
      const ended = ends.slice(from, from + LISTED_MAXIMUM);
      const hasUnlistedEnds = ended.length === LISTED_MAXIMUM;
      const report = { processId: OTHER_PROCESS, session: vm.session, ended, hasUnlistedEnds };
      sendReport(state, vm, report, 6_100);
      assert.equal(placeTasks(state, 6_100).started.length, 0);
    }
    assert.equal(state.unreportedVms.size, 0);
  });
}

test('starts the tasks again when the lease of a VM expires that has not listed all its ends', () => {
  const scene = createSuccessor(600);
  const { state, vm } = scene;
  vm.announcement = createAnnouncement({ capacity: LARGE });
  const ended = endsOf(scene).slice(0, LISTED_MAXIMUM);
  const opening = { processId: OTHER_PROCESS, running: [], ended, hasUnlistedEnds: true };
  sendReport(state, vm, opening, 1_000);
  vm.leaseExpiresAt = 6_000;
  expireVmLeases(state, 6_000);
  assert.equal(placeTasks(state, 6_000).started.length, 0);
  expireVmLeases(state, 7_200);
  assert.equal(placeTasks(state, 7_200).started.length, 100);
});

test('applies the ends that precede an expiry of the lease, also if they are listed later', () => {
  const scene = createRunningJob(600);
  const { state, vm, job } = scene;
  vm.leaseExpiresAt = 900;
  expireVmLeases(state, 900);
  const other = addVm(state, 'vm-2', { capacity: LARGE });
  assert.equal(placeTasks(state, 950).started.length, 0);
  expireVmLeases(state, 2_500);
  assert.equal(placeTasks(state, 2_500).started.length, 600);
  assert.deepEqual(reportEndsInLists(scene, endsOf(scene), 10), []);
  assert.equal(job.occurrences.get(0)?.state, JobState.Completed);
  assert.ok([...other.runs.values()].every(({ phase }) => phase === RunPhase.Stopping));
});

test('starts no task whose end the VM may still list after an expiry of its lease', () => {
  const scene = createRunningJob(600);
  const { state, vm } = scene;
  vm.leaseExpiresAt = 900;
  expireVmLeases(state, 900);
  addVm(state, 'vm-2', { capacity: LARGE });
  const ended = endsOf(scene).slice(0, LISTED_MAXIMUM);
  sendReport(state, vm, { processId: OTHER_PROCESS, ended, hasUnlistedEnds: true }, 1_000);
  assert.equal(placeTasks(state, 1_000).started.length, 0);
  assert.equal(placeTasks(state, 5_000).started.length, 0);
});
