/**
 * Guards against a row of progress that can't be read and is replaced by what one scheduler knows: the next one would
 * read that the tasks which were done before are not, and start them again.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  addJob,
  addVm,
  createState,
  createStep,
  sendReport,
} from '@figjunction/scheduling/cell-fixture';
import { ManualClock } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import type { JobRow, ProgressRow } from '@figjunction/types';
import { CELL_PARTITION, CellCollection, jobPartition, progressKey } from './cell-collections.js';
import { JobIntake } from './job-intake.js';
import { MemoryFeedStore } from './memory-feed-store.js';
import { createWriterFixture } from './progress-writer-fixture.js';

const JOB_ID = '00000000000000aa';
const ODD_VALUE = { odd: true };
const KEY = progressKey(JOB_ID, 0);
const PARTITION = jobPartition(JOB_ID);

/** A scheduler that has loaded a job of two tasks with an odd row of progress. */
async function createScene() {
  const clock = new ManualClock(1_000);
  const store = new MemoryFeedStore(clock);
  const { context, state, writer } = await createWriterFixture({ clock, store });
  const row = { collection: CellCollection.Progress, key: KEY, value: ODD_VALUE };
  await store.write({ partition: CELL_PARTITION, writes: [row] });
  const intake = new JobIntake({ context, state, epoch: 2 });
  const { policy, specification } = addJob(createState(), {
    steps: [createStep({ taskCount: 2 })],
  });
  const value: JobRow = { policy, specification, submittedAtStoreMs: 0 };
  intake.holdOccurrences([KEY]);
  intake.addJobs([{ partition: PARTITION, key: JOB_ID, value, version: 1 }], true, 1_000);
  const vm = addVm(state, 'vm-1');
  const flush = async (): Promise<void> => {
    clock.advance(1_000);
    writer.flush(clock.now());
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  };
  const reportDone = (sequence: number, index: number): void => {
    const end = { sequence, taskId: `${JOB_ID}.0.0.${index}`, run: 1 };
    const ended = [{ ...end, ending: RunEnding.Done, checkpoint: '' }];
    sendReport(state, vm, { session: vm.session, ended });
  };
  const storedValue = (): unknown => store.findValue(CellCollection.Progress, CELL_PARTITION, KEY);
  return { intake, vm, flush, reportDone, storedValue };
}

test('leaves an unreadable row of progress as it is when a task ends, and acknowledges the end', async () => {
  const { vm, flush, reportDone, storedValue } = await createScene();
  reportDone(3, 0);
  await flush();
  assert.deepEqual(storedValue(), ODD_VALUE);
  assert.equal(vm.settledThrough, 3);
});

test('replaces an unreadable row of progress once the job is cancelled or all its tasks are known as done', async () => {
  const cancelled = await createScene();
  cancelled.intake.cancelJobs([{ partition: PARTITION, key: JOB_ID, value: {}, version: 2 }], 1);
  await cancelled.flush();
  assert.equal((cancelled.storedValue() as ProgressRow).state, 'cancelled');
  const { flush, reportDone, storedValue } = await createScene();
  reportDone(3, 0);
  reportDone(4, 1);
  await flush();
  assert.equal((storedValue() as ProgressRow).state, 'completed');
});
