/**
 * Guards against jobs that count as begun although no VM has begun a task of theirs.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobState, RunEnding, StartRefusal } from '@figjunction/types';
import type { ProgressRow, ReportParameters } from '@figjunction/types';
import { addJob, addVm, createState, createStep, sendReport } from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { deriveVisibleState, isPending } from './job-table.js';
import { encodeProgress, restoreProgress } from './progress-row.js';
import { placeTasks } from './place.js';
import { RunPhase } from './records.js';
import type { JobRecord, OccurrenceRecord, RunRecord, VmRecord } from './records.js';

const JOBS = 10;
const LATER_MS = 10_000;

interface Scene {
  state: CellState;
  vm: VmRecord;
  jobs: JobRecord[];
}

/** Ten jobs of two tasks each that have room on the only VM. */
function createJobs(): Scene {
  const state = createState();
  const capacity = { processorMillicores: 64_000, memoryMegabytes: 64_000, accelerators: 0 };
  const vm = addVm(state, 'vm-1', { capacity });
  const jobs = Array.from({ length: JOBS }, (_, index) =>
    addJob(state, { id: `job-${index}`, steps: [createStep({ taskCount: 2 })] }),
  );
  return { state, vm, jobs };
}

function order({ state }: Scene, now = 0): RunRecord[] {
  const { started } = placeTasks(state, now);
  started.forEach((run) => Object.assign(run, { isSent: true, attempt: 1 }));
  return started;
}

/** The VM tells this of each run. */
function report(
  { state, vm }: Scene,
  runs: RunRecord[],
  describe: (reference: { taskId: string; run: number }) => Partial<ReportParameters>,
): void {
  for (const { task, run } of runs) {
    sendReport(state, vm, { session: 1, ...describe({ taskId: task.id, run }) }, 1);
  }
}

function countPending({ jobs }: Scene): number {
  return jobs.filter(isPending).length;
}

function statesOf({ state, jobs }: Scene): Set<JobState> {
  return new Set(jobs.map((job) => deriveVisibleState(job, state.unreportedVms)));
}

test('counts jobs as pending whose starts are ordered and not confirmed', () => {
  const scene = createJobs();
  assert.equal(order(scene).length, 2 * JOBS);
  assert.equal(countPending(scene), JOBS);
  assert.deepEqual(statesOf(scene), new Set([JobState.Queued]));
});

for (const refusal of Object.values(StartRefusal)) {
  test(`counts jobs as pending whose starts are refused again and again (${refusal})`, () => {
    const scene = createJobs();
    for (let round = 0; round < 3; round += 1) {
      const runs = order(scene, round * LATER_MS);
      report(scene, runs, (reference) => ({
        running: null,
        answers: [{ ...reference, attempt: 1, refusal }],
      }));
    }
    assert.equal(countPending(scene), JOBS);
    assert.deepEqual(statesOf(scene), new Set([JobState.Queued]));
  });
}

const evidence: [
  string,
  (reference: { taskId: string; run: number }) => Partial<ReportParameters>,
][] = [
  [
    'is confirmed',
    (reference) => ({ running: null, answers: [{ ...reference, attempt: 1, refusal: null }] }),
  ],
  [
    'is listed',
    (reference) => ({ running: [{ ...reference, checkpoint: '', percent: 1, reading: 0 }] }),
  ],
];

for (const [name, describe] of evidence) {
  test(`counts a job as begun once a run of it ${name}`, () => {
    const scene = createJobs();
    const [first] = order(scene) as [RunRecord];
    report(scene, [first], describe);
    assert.equal(countPending(scene), JOBS - 1);
    assert.deepEqual(statesOf(scene), new Set([JobState.Running, JobState.Queued]));
  });
}

for (const ending of Object.values(RunEnding)) {
  test(`counts a job as begun once the VM tells that a run of it has ended (${ending})`, () => {
    const scene = createJobs();
    const [first] = order(scene) as [RunRecord];
    const ended = { sequence: 1, taskId: first.task.id, run: 1, ending, checkpoint: '' };
    sendReport(scene.state, scene.vm, { session: 1, running: null, ended: [ended] }, 1);
    assert.equal(countPending(scene), JOBS - 1);
  });
}

test('counts no cancelled job as pending', () => {
  const scene = createJobs();
  (scene.jobs[0] as JobRecord).cancelled = true;
  assert.equal(countPending(scene), JOBS - 1);
});

function occurrenceOf(job: JobRecord): OccurrenceRecord {
  return job.occurrences.get(0) as OccurrenceRecord;
}

/** A new scheduler restores the row that the earlier one has stored with the order. */
function takeOver({ state, jobs }: Scene, change: (row: ProgressRow) => void = () => {}): Scene {
  const successor = createState();
  successor.addVm('vm-1', 'http://127.0.0.1:1');
  successor.unreportedVms.set('vm-1', LATER_MS);
  const restored = jobs.map((job) => {
    const row = encodeProgress(occurrenceOf(job), state.unreportedVms);
    change(row);
    const copy = addJob(successor, { id: job.id, steps: job.specification.steps });
    restoreProgress(occurrenceOf(copy), row);
    return copy;
  });
  return { state: successor, vm: successor.vms.get('vm-1') as VmRecord, jobs: restored };
}

test('counts jobs as pending after a take-over although their orders were stored', () => {
  const scene = createJobs();
  order(scene);
  const successor = takeOver(scene);
  assert.equal(countPending(successor), JOBS);
  // Callers may have seen them running on the VM that has not reported yet.
  assert.deepEqual(statesOf(successor), new Set([JobState.Running]));
  successor.state.unreportedVms.clear();
  assert.deepEqual(statesOf(successor), new Set([JobState.Queued]));
});

test('counts jobs as begun after a take-over that the stored row or the list of their VM shows as begun', () => {
  const scene = createJobs();
  const [first, second] = order(scene).filter(({ task }) => task.index === 0);
  Object.assign(first as RunRecord, { phase: RunPhase.Running });
  report(scene, [first as RunRecord], (reference) => ({
    running: [{ ...reference, checkpoint: '', percent: 1, reading: 0 }],
  }));
  const successor = takeOver(scene);
  assert.equal(countPending(successor), JOBS - 1);
  const listed = { taskId: second?.task.id ?? '', run: 1, checkpoint: '', percent: 1, reading: 0 };
  sendReport(successor.state, successor.vm, { vm: scene.vm.announcement, running: [listed] }, 1);
  assert.equal(countPending(successor), JOBS - 2);
});

test('counts jobs as begun whose rows an earlier version has stored', () => {
  const scene = createJobs();
  order(scene);
  const successor = takeOver(scene, (row) => {
    delete row.hasBegun;
  });
  assert.equal(countPending(successor), 0);
});
