/**
 * Guards against progress that is overwritten by an older write, acknowledged before it is stored, or lost
 * when the response of a write is lost, and against a scheduler that deposes itself then: a conflict returns
 * the current rows of all expected rows, so also that of the owner, unchanged.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { placeTasks } from '@figjunction/scheduling';
import type { VmRecord } from '@figjunction/scheduling';
import {
  addJob,
  addVm,
  createAnnouncement,
  createStep,
  sendReport,
} from '@figjunction/scheduling/cell-fixture';
import { ManualClock } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import type { ProgressRow } from '@figjunction/types';
import { CellLease } from './cell-lease.js';
import { CELL_PARTITION, CellCollection, jobPartition } from './cell-collections.js';
import { MemoryFeedStore, StoreFault } from './memory-feed-store.js';
import { OwnerDirectory } from './owner-directory.js';
import { createWriterFixture } from './progress-writer-fixture.js';

const JOB_ID = '00000000000000aa';
async function createWriter() {
  const clock = new ManualClock(1_000);
  const store = new MemoryFeedStore(clock);
  let deposedCount = 0;
  const onDeposed = (): void => {
    deposedCount += 1;
  };
  const { context, state, writer } = await createWriterFixture({ clock, store, onDeposed });
  const job = addJob(state, { id: JOB_ID, steps: [createStep({ taskCount: 2 })] });
  /** The VM reports that the task has ended as done. */
  const reportDone = (vm: VmRecord, sequence: number, index: number): void => {
    const end = { sequence, taskId: `${JOB_ID}.0.0.${index}`, run: 1 };
    const ended = [{ ...end, ending: RunEnding.Done, checkpoint: '' }];
    assert.ok(sendReport(state, vm, { session: vm.session, ended }));
  };
  const completeTask = (index: number): void => {
    const occurrence = job.occurrences.get(0);
    const task = occurrence?.steps[0]?.tasks[index];
    assert.ok(occurrence !== undefined && task !== undefined);
    task.done = true;
    state.markDirty(occurrence);
  };
  const flush = async (): Promise<void> => {
    clock.advance(1_000);
    writer.flush(clock.now());
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  };
  const storedDoneMarks = async (): Promise<string | undefined> => {
    const range = { collection: CellCollection.Progress, partition: CELL_PARTITION };
    const { rows } = await store.readRange(range);
    return (rows[0]?.value as ProgressRow | undefined)?.done[0];
  };
  return {
    store,
    context,
    state,
    job,
    writer,
    completeTask,
    reportDone,
    flush,
    storedDoneMarks,
    deposedCount: () => deposedCount,
  };
}

test('a delayed write does not overwrite a later one', async () => {
  const { store, completeTask, flush, storedDoneMarks } = await createWriter();
  completeTask(0);
  store.fault = StoreFault.DelaysWrites;
  await flush();
  store.fault = StoreFault.None;
  completeTask(1);
  await flush();
  assert.equal(await storedDoneMarks(), '11');
  store.applyDelayed();
  assert.equal(await storedDoneMarks(), '11');
});

test('continues after a write whose response was lost', async () => {
  const { store, completeTask, flush, storedDoneMarks, deposedCount } = await createWriter();
  completeTask(0);
  store.fault = StoreFault.LosesResponses;
  await flush();
  store.fault = StoreFault.None;
  completeTask(1);
  await flush();
  await flush();
  assert.equal(await storedDoneMarks(), '11');
  assert.equal(deposedCount(), 0);
});

test('is deposed by a write that conflicts because another process owns the cell', async () => {
  const { context, completeTask, flush, storedDoneMarks, deposedCount } = await createWriter();
  const view = await new OwnerDirectory(context).refresh();
  assert.ok(view !== null && (await new CellLease(context).acquire(view)));
  completeTask(0);
  await flush();
  assert.equal(deposedCount(), 1);
  assert.equal(await storedDoneMarks(), undefined);
});

test('acknowledges ends of runs only after their effect is stored', async () => {
  const { store, state, reportDone, flush } = await createWriter();
  const vm = addVm(state, 'vm-1');
  store.fault = StoreFault.Unavailable;
  reportDone(vm, 4, 0);
  await flush();
  assert.equal(vm.settledThrough, 0);
  store.fault = StoreFault.None;
  await flush();
  assert.equal(vm.settledThrough, 4);
});

test('acknowledges no end of a new incarnation by a write that began before it', async () => {
  const { store, state, reportDone, flush } = await createWriter();
  const vm = addVm(state, 'vm-1');
  reportDone(vm, 1, 0);
  store.beforeWrite = (): Promise<void> => {
    sendReport(state, vm, { vm: createAnnouncement({ bornWallMs: 2_000 }) });
    reportDone(vm, 1, 1);
    return Promise.resolve();
  };
  await flush();
  assert.equal(vm.settledThrough, 0);
  await flush();
  assert.equal(vm.settledThrough, 1);
});

test('holds back the ends of a VM for its own rows only', async () => {
  const { store, state, reportDone, flush } = await createWriter();
  const [waiting, other] = [addVm(state, 'vm-1'), addVm(state, 'vm-2')];
  store.fault = StoreFault.Unavailable;
  reportDone(waiting, 1, 0);
  const end = { sequence: 5, taskId: '00000000000000bb.0.0.0', run: 1 };
  const ended = [{ ...end, ending: RunEnding.Done, checkpoint: '' }];
  sendReport(state, other, { session: 1, ended });
  await flush();
  assert.deepEqual([waiting.settledThrough, other.settledThrough], [0, 5]);
});

test('removes the job row before the progress of the job', async () => {
  const { store, state, job, writer, completeTask, flush, storedDoneMarks } = await createWriter();
  const jobs = { collection: CellCollection.Jobs, partition: jobPartition(JOB_ID) };
  const writes = [{ collection: CellCollection.Jobs, key: JOB_ID, value: {} }];
  await store.write({ partition: jobPartition(JOB_ID), writes });
  completeTask(0);
  await flush();
  store.fault = StoreFault.Unavailable;
  writer.removeJob(job);
  await flush();
  assert.equal(state.jobs.size, 1);
  store.fault = StoreFault.None;
  writer.removeJob(job);
  await flush();
  await flush();
  assert.equal((await store.readRange(jobs)).rows.length, 0);
  assert.equal(await storedDoneMarks(), undefined);
  assert.equal(state.jobs.size, 0);
});

test('counts a VM as stored only if the old and new rows both name it, or after the write', async () => {
  const { store, state, job, flush } = await createWriter();
  const occurrence = job.occurrences.get(0);
  assert.ok(occurrence !== undefined);
  addVm(state, 'vm-1');
  occurrence.storedVms = new Set(['vm-2']);
  placeTasks(state, 0);
  store.fault = StoreFault.LosesResponses;
  await flush();
  assert.deepEqual([...occurrence.storedVms], []);
  store.fault = StoreFault.None;
  await flush();
  await flush();
  assert.deepEqual([...occurrence.storedVms], ['vm-1']);
});

test('registers a runner while more progress waits all the time than one transaction takes', async () => {
  const { store, state, writer, flush } = await createWriter();
  const jobs = Array.from({ length: 150 }, (_, index) =>
    addJob(state, { id: `job-${index}`, steps: [createStep()] }),
  );
  writer.registerRunner('runner-1', 'http://127.0.0.1:2');
  for (let round = 0; round < 3; round += 1) {
    jobs.forEach(({ occurrences }) => occurrences.forEach((due) => state.markDirty(due)));
    await flush();
  }
  assert.ok(store.findValue(CellCollection.Runners, CELL_PARTITION, 'runner-1') !== null);
});
