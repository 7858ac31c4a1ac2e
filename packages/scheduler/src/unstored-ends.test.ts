/**
 * Guards against ends that are acknowledged while the store does not contain their effect: the scheduler that takes over
 * then starts their tasks again. A call that the store does not serve is no refusal of the row in it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { restoreProgress } from '@figjunction/scheduling';
import {
  addJob,
  addVm,
  createState,
  createStep,
  sendReport,
} from '@figjunction/scheduling/cell-fixture';
import type { OccurrenceRecord } from '@figjunction/scheduling';
import { ManualClock } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import type { JobId, ProgressRow } from '@figjunction/types';
import { CELL_PARTITION, CellCollection, progressKey } from './cell-collections.js';
import { MemoryFeedStore, StoreFault } from './memory-feed-store.js';
import { createWriterFixture } from './progress-writer-fixture.js';

const JOB_ID = '00000000000000aa';
const OTHER_JOB_ID = '00000000000000bb';
const FLUSH_INTERVAL_MS = 50;
const OUTAGE_MS = 5_000;

async function createScene() {
  const clock = new ManualClock(1_000);
  const store = new MemoryFeedStore(clock);
  const { state, writer } = await createWriterFixture({ clock, store });
  const flushFor = async (milliseconds: number, check: () => void): Promise<void> => {
    for (let passedMs = 0; passedMs < milliseconds; passedMs += FLUSH_INTERVAL_MS) {
      clock.advance(FLUSH_INTERVAL_MS);
      writer.flush(clock.now());
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      check();
    }
  };
  /** What a scheduler that takes over reads of the first task of the job. */
  const isDoneAfterTakeover = (id: JobId): boolean => {
    const job = addJob(createState(), { id, steps: [createStep()] });
    const occurrence = job.occurrences.get(0) as OccurrenceRecord;
    const row = store.findValue(CellCollection.Progress, CELL_PARTITION, progressKey(id, 0));
    if (row !== null) {
      restoreProgress(occurrence, row as ProgressRow);
    }
    return occurrence.steps[0]?.tasks[0]?.done === true;
  };
  return { store, state, flushFor, isDoneAfterTakeover };
}

function endTask(sequence: number, jobId: JobId) {
  const taskId = `${jobId}.0.0.0`;
  return { sequence, taskId, run: 1, ending: RunEnding.Done, checkpoint: '' };
}

const FAULTS = [
  StoreFault.Unavailable,
  StoreFault.Throttled,
  StoreFault.DelaysWrites,
  StoreFault.LosesResponses,
];

for (const fault of FAULTS) {
  for (const jobIds of [[JOB_ID], [JOB_ID, OTHER_JOB_ID]]) {
    test(`acknowledges no end of an outage before its effect is stored (${fault}, rows pending: ${jobIds.length})`, async () => {
      const { store, state, flushFor, isDoneAfterTakeover } = await createScene();
      jobIds.forEach((id) => {
        const job = addJob(state, { id, steps: [createStep()] });
        state.markDirty(job.occurrences.get(0) as OccurrenceRecord);
      });
      const vm = addVm(state, 'vm-1');
      // The rows are stored once, as they are before a VM gets a start order.
      await flushFor(100, () => {});
      store.fault = fault;
      const ended = jobIds.map((id, index) => endTask(index + 1, id));
      sendReport(state, vm, { session: 1, ended });
      const check = (): void =>
        jobIds.forEach((id, index) => {
          const isAcknowledged = vm.settledThrough > index;
          assert.ok(!isAcknowledged || isDoneAfterTakeover(id), `${id} would run again`);
        });
      await flushFor(OUTAGE_MS, check);
      store.fault = StoreFault.None;
      store.applyDelayed();
      await flushFor(OUTAGE_MS, check);
      assert.equal(vm.settledThrough, jobIds.length);
    });
  }
}
