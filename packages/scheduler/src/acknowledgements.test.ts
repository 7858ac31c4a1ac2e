/**
 * Guards against ends that are acknowledged while the store does not contain their effect, in random sequences of ends,
 * faults of the store and rows that it refuses. Checked after each step, without a take-over.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ErrorCode } from '@figjunction/errors';
import { addJob, addVm, createStep, sendReport } from '@figjunction/scheduling/cell-fixture';
import type { VmRecord } from '@figjunction/scheduling';
import { PlatformError } from '@figjunction/store';
import type { ConditionalWrite, WriteResult } from '@figjunction/store';
import { ManualClock, RandomSource } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import type { ProgressRow } from '@figjunction/types';
import { CELL_PARTITION, CellCollection, progressKey } from './cell-collections.js';
import { MemoryFeedStore, StoreFault } from './memory-feed-store.js';
import { createWriterFixture } from './progress-writer-fixture.js';

const SEEDS = 60;
const STEPS = 400;
const STEP_MS = 50;
const CALM_STEPS = 400;
const JOBS_MAXIMUM = 4;
const TASKS_PER_JOB = 12;
const VMS = 2;
const END_SHARE = 0.1;
const FAULT_SHARE = 0.03;

class RefusingFeedStore extends MemoryFeedStore {
  /** Rows of progress under this key are refused for what they contain. */
  refusedKey: string | null = null;

  override write(write: ConditionalWrite): Promise<WriteResult> {
    const isRefused = (write.writes ?? []).some(
      ({ key, value }) => key === this.refusedKey && !isHeldRow(value),
    );
    return isRefused
      ? Promise.reject(new PlatformError('refused', { code: ErrorCode.InvalidInput }))
      : super.write(write);
  }
}

function isHeldRow(value: unknown): boolean {
  return typeof value === 'object' && value !== null && 'held' in value;
}

interface ReportedEnd {
  vm: VmRecord;
  sequence: number;
  key: string;
  index: number;
}

async function createScene(random: RandomSource) {
  const clock = new ManualClock(1_000);
  const store = new RefusingFeedStore(clock);
  const { state, writer } = await createWriterFixture({ clock, store });
  const jobIds = Array.from(
    { length: 1 + random.below(JOBS_MAXIMUM) },
    (_, index) => `00000000000000a${index}`,
  );
  jobIds.forEach((id) => addJob(state, { id, steps: [createStep({ taskCount: TASKS_PER_JOB })] }));
  const vms = Array.from({ length: VMS }, (_, index) => addVm(state, `vm-${index + 1}`));
  const ends: ReportedEnd[] = [];
  const reportEnd = (): void => {
    const vm = vms[random.below(VMS)] as VmRecord;
    const jobId = jobIds[random.below(jobIds.length)] as string;
    const index = random.below(TASKS_PER_JOB);
    const sequence = vm.lastEndSequence + 1;
    const end = { sequence, taskId: `${jobId}.0.0.${index}`, run: 1 };
    const ended = [{ ...end, ending: RunEnding.Done, checkpoint: '' }];
    sendReport(state, vm, { session: vm.session, ended });
    ends.push({ vm, sequence, key: progressKey(jobId, 0), index });
  };
  /** A later scheduler reads the task as done, or starts nothing of its job. */
  const isSafe = ({ key, index }: ReportedEnd): boolean => {
    const value = store.findValue(CellCollection.Progress, CELL_PARTITION, key);
    return isHeldRow(value) || (value as ProgressRow | null)?.done[0]?.[index] === '1';
  };
  const step = async (seed: number): Promise<void> => {
    clock.advance(STEP_MS);
    writer.flush(clock.now());
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    const unsafe = ends.filter((end) => end.sequence <= end.vm.settledThrough && !isSafe(end));
    assert.deepEqual(
      unsafe.map(({ vm, sequence, key }) => `${vm.id} ${sequence} ${key}`),
      [],
      `seed ${seed}`,
    );
  };
  const refuseOrAccept = (): void => {
    const jobId = jobIds[random.below(jobIds.length)] as string;
    store.refusedKey = random.below(2) === 0 ? null : progressKey(jobId, 0);
  };
  return { store, state, vms, reportEnd, step, refuseOrAccept };
}

test(`acknowledges no end whose effect is not in the store (${SEEDS} random sequences)`, async () => {
  const faults = Object.values(StoreFault);
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const random = new RandomSource(seed);
    const { store, state, vms, reportEnd, step, refuseOrAccept } = await createScene(random);
    for (let count = 0; count < STEPS; count += 1) {
      if (random.fraction() < END_SHARE) {
        reportEnd();
      }
      if (random.fraction() < FAULT_SHARE) {
        store.fault = faults[random.below(faults.length)] ?? StoreFault.None;
        store.applyDelayed();
        refuseOrAccept();
      }
      await step(seed);
    }
    store.fault = StoreFault.None;
    store.refusedKey = null;
    store.applyDelayed();
    for (let count = 0; count < CALM_STEPS && state.dirty.size > 0; count += 1) {
      await step(seed);
    }
    assert.ok(
      vms.every(({ settledThrough, lastEndSequence }) => settledThrough === lastEndSequence),
    );
  }
});
