/**
 * Guards against a take-over by a process whose wall clock is behind that of the scheduler before: an occurrence
 * that has begun is not due there yet, so the ends of its runs would be acknowledged without being applied, and
 * its tasks would run a second time.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import { deriveVisibleState, placeTasks } from '@figjunction/scheduling';
import {
  addJob,
  createAnnouncement,
  createState,
  createStep,
} from '@figjunction/scheduling/cell-fixture';
import { ManualClock } from '@figjunction/time';
import { JobState, RunEnding } from '@figjunction/types';
import type { JobRow, ProgressRow, ReportParameters, RunningTask } from '@figjunction/types';
import { createCellContext } from './cell-context-fixture.js';
import { JobIntake } from './job-intake.js';
import { RunnerSessions } from './runner-sessions.js';

const JOB = '00000000000000aa';
const TASK = `${JOB}.0.0.0`;
const ADDRESS = 'http://127.0.0.1:1';
/** The occurrence was due on the clock of the scheduler before, and is due this much later on the clock here. */
const CLOCK_DIFFERENCE_MS = 2_000;
const INTERVAL_MS = 500;
const DONE = { sequence: 1, taskId: TASK, run: 1, ending: RunEnding.Done, checkpoint: '' };
const RUNNING: RunningTask = { taskId: TASK, run: 1, checkpoint: '', percent: 50, reading: 0 };

/** A successor of the scheduler that has started the only task of an occurrence, by default the first, on vm-1. */
function createSuccessor({ step = createStep(), begun = 0, occurrences = 1 } = {}) {
  const clock = new ManualClock(1_000);
  const state = createState();
  const events = new RecordingEventLog();
  const context = createCellContext(clock, { events });
  const intake = new JobIntake({ context, state, epoch: 2 });
  const { policy, specification } = addJob(createState(), { steps: [step] });
  const schedule = {
    occurrences,
    firstDueWallMs: 1_000 + CLOCK_DIFFERENCE_MS,
    intervalMs: INTERVAL_MS,
  };
  const job: JobRow = {
    policy,
    specification: { ...specification, ...schedule },
    submittedAtStoreMs: 0,
  };
  const progress: ProgressRow = {
    state: JobState.Queued,
    done: ['0'],
    failures: {},
    crashes: {},
    runners: ['vm-1'],
  };
  intake.cacheProgress([{ partition: '', key: `${JOB}.${begun}`, value: progress, version: 1 }]);
  intake.addJobs([{ partition: '', key: JOB, value: job, version: 2 }], true, clock.now());
  state.addVm('vm-1', ADDRESS);
  state.unreportedVms.set('vm-1', 10_000);
  const sessions = new RunnerSessions({
    context,
    state,
    lease: { epoch: 2, isHeld: () => true },
    writer: { registerRunner: () => {} },
    wake: () => {},
  });
  let sequence = 0;
  const report = (changes: Partial<ReportParameters>) => {
    sequence += 1;
    return sessions.handleReport({
      agentId: 'vm-1',
      address: ADDRESS,
      processId: 'process-1',
      sequence,
      listAgeMs: 0,
      silentMs: 0,
      epoch: 2,
      session: 0,
      offeredSession: 0,
      vm: createAnnouncement(),
      running: null,
      crashed: [],
      ended: [],
      hasUnlistedEnds: false,
      vanished: [],
      answers: [],
      pressureAllowance: null,
      ...changes,
    });
  };
  const open = (changes: Partial<ReportParameters>): void => {
    const { offeredSession } = report({});
    report({ offeredSession, running: [], ...changes });
  };
  const startAfter = (milliseconds: number): string[] => {
    clock.advance(milliseconds);
    intake.activateDueOccurrences(clock.now());
    return placeTasks(state, clock.now()).started.map(({ task }) => task.id);
  };
  const startWhenDue = (): string[] => startAfter(CLOCK_DIFFERENCE_MS);
  return { state, events, open, startAfter, startWhenDue };
}

test('applies the end of a task whose occurrence is not due yet on this clock', () => {
  const { events, open, startWhenDue } = createSuccessor();
  open({ ended: [DONE] });
  assert.deepEqual(events.fieldsOf('ends-unapplied'), []);
  assert.deepEqual(startWhenDue(), []);
});

test('adopts a run whose occurrence is not due yet on this clock', () => {
  const { state, open, startWhenDue } = createSuccessor();
  open({ running: [RUNNING] });
  assert.equal(state.vms.get('vm-1')?.orphans.size, 0);
  assert.deepEqual(startWhenDue(), []);
});

test('starts a task that has failed again only when its occurrence is due on this clock', () => {
  const { events, open, startAfter } = createSuccessor({ step: createStep({ longRunning: true }) });
  open({ ended: [{ ...DONE, ending: RunEnding.Failed }] });
  assert.deepEqual(events.fieldsOf('ends-unapplied'), []);
  assert.deepEqual(startAfter(CLOCK_DIFFERENCE_MS - 1), []);
  assert.deepEqual(startAfter(1), [TASK]);
});

test('creates the occurrences before one that has begun, and each starts when it is due', () => {
  const { state, open, startAfter, startWhenDue } = createSuccessor({ begun: 1, occurrences: 3 });
  open({ running: [{ ...RUNNING, taskId: `${JOB}.1.0.0` }] });
  const job = state.jobs.get(JOB);
  assert.ok(job !== undefined);
  assert.deepEqual([...job.occurrences.keys()], [0, 1]);
  assert.equal(deriveVisibleState(job, state.unreportedVms), JobState.Running);
  assert.deepEqual(startWhenDue(), [TASK]);
  assert.deepEqual(startAfter(INTERVAL_MS), []);
  assert.deepEqual(startAfter(INTERVAL_MS), [`${JOB}.2.0.0`]);
});
