/**
 * Guards against rows of jobs that stay in the store for good because the jobs ended under an earlier scheduler.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { addJob, createState, createStep } from '@figjunction/scheduling/cell-fixture';
import { ManualClock } from '@figjunction/time';
import { JobState } from '@figjunction/types';
import type { JobRow, ProgressRow } from '@figjunction/types';
import { createCellContext } from './cell-context-fixture.js';
import { progressKey } from './cell-collections.js';
import { JobIntake } from './job-intake.js';

const JOB_ID = '00000000000000a1';
const NOW_MS = 1_000;

test('counts a job as finished that has ended under an earlier scheduler', () => {
  const { policy, specification } = addJob(createState(), { steps: [createStep()] });
  const value: JobRow = { policy, specification, submittedAtStoreMs: 0 };
  const progress: ProgressRow = {
    state: JobState.Completed,
    done: ['1'],
    failures: {},
    runners: [],
  };
  const state = createState();
  const context = createCellContext(new ManualClock(NOW_MS));
  const intake = new JobIntake({ context, state, epoch: 2 });
  const row = { partition: '', version: 1 };
  intake.cacheProgress([{ ...row, key: progressKey(JOB_ID, 0), value: progress }]);
  intake.addJobs([{ ...row, key: JOB_ID, value }], true, NOW_MS);
  assert.equal(state.active.size, 0);
  assert.equal(state.jobs.get(JOB_ID)?.finishedAt, NOW_MS);
});
