/**
 * Guards against one unreadable row that keeps the scheduler from the jobs read with it, or from loading.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import { addJob, addVm, createState, createStep } from '@figjunction/scheduling/cell-fixture';
import { placeTasks } from '@figjunction/scheduling';
import { ManualClock } from '@figjunction/time';
import type { JobRow, ProgressRow } from '@figjunction/types';
import { createCellContext } from './cell-context-fixture.js';
import { JobIntake } from './job-intake.js';

const { policy, specification } = addJob(createState(), { steps: [createStep()] });
const READABLE: JobRow = { policy, specification, submittedAtStoreMs: 0 };

function createIntake() {
  const state = createState();
  const context = createCellContext(new ManualClock(1_000));
  return { state, intake: new JobIntake({ context, state, epoch: 1 }) };
}

/** Row values with fields that are missing or of another type. */
const damagedRows = fc.oneof(
  fc.jsonValue().filter((value) => value !== null),
  fc.record({ policy: fc.jsonValue(), specification: fc.jsonValue() }),
  fc.record({
    policy: fc.constant(policy),
    specification: fc.record({ steps: fc.jsonValue(), occurrences: fc.jsonValue() }),
    submittedAtStoreMs: fc.integer(),
  }),
);

test('adds the readable jobs among rows that cannot be read', () => {
  fc.assert(
    fc.property(damagedRows, (damaged) => {
      const { state, intake } = createIntake();
      const rows = [
        { partition: '', key: 'damaged', value: damaged as unknown as JobRow, version: 1 },
        { partition: '', key: 'readable', value: READABLE, version: 2 },
      ];
      intake.addJobs(rows, false, 1_000);
      placeTasks(state, 1_000);
      return state.jobs.has('readable');
    }),
  );
});

test('skips a job whose schedule would never end', () => {
  const { state, intake } = createIntake();
  const endless = { ...specification, occurrences: 1e15 };
  const value = { ...READABLE, specification: endless };
  intake.addJobs([{ partition: '', key: 'job-1', value, version: 1 }], false, 1_000);
  assert.equal(state.jobs.size, 0);
});

test('leaves no half-added job behind when its progress cannot be read', () => {
  const { state, intake } = createIntake();
  const progress = { state: 'running' } as unknown as ProgressRow;
  intake.cacheProgress([{ partition: '', key: 'job-1.0', value: progress, version: 1 }]);
  intake.addJobs([{ partition: '', key: 'job-1', value: READABLE, version: 2 }], true, 1_000);
  assert.equal(state.jobs.size, 0);
  assert.equal(state.active.size, 0);
});

test('tells the age of a cancellation and the runs that it stops', () => {
  const clock = new ManualClock(1_000);
  const events = new RecordingEventLog();
  const context = createCellContext(clock, { events });
  context.storeClock.observe(5_000, 1_000);
  const state = createState();
  addVm(state);
  const intake = new JobIntake({ context, state, epoch: 1 });
  intake.addJobs([{ partition: '', key: 'job-1', value: READABLE, version: 1 }], false, 1_000);
  placeTasks(state, 1_000);
  clock.advance(250);
  const value = { requestedAtStoreMs: 5_000 };
  intake.cancelJobs([{ partition: '', key: 'job-1', value, version: 2 }], 1_250);
  const [cancelled] = events.fieldsOf('job-cancelled');
  assert.deepEqual([cancelled?.version, cancelled?.ageMs, cancelled?.runs], [2, 250, 1]);
  const [stopped] = events.fieldsOf('run-stopped');
  assert.deepEqual([stopped?.task, stopped?.reason], ['job-1.0.0.0', 'job-cancelled']);
});
