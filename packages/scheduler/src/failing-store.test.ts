/**
 * Guards against failures of the whole store that are put down to single rows: these are then stored one at a time and
 * late, and the ends of runs on all VMs wait for them after the store works again.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ErrorCode } from '@figjunction/errors';
import type { OccurrenceRecord } from '@figjunction/scheduling';
import { addJob, addVm, createStep, sendReport } from '@figjunction/scheduling/cell-fixture';
import { PlatformError } from '@figjunction/store';
import type { ConditionalWrite, WriteResult } from '@figjunction/store';
import { ManualClock, RandomSource } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import { MemoryFeedStore } from './memory-feed-store.js';
import { createWriterFixture } from './progress-writer-fixture.js';

const VM_COUNT = 20;
const FLUSH_INTERVAL_MS = 50;
const WORKING_MS = 3_000;
const FAILING_MS = 10_000;
/** Of a stable store, the time after which the users' platform expects acknowledgements. */
const ACKNOWLEDGED_MAXIMUM_MS = 5_000;

class FailingStore extends MemoryFeedStore {
  failingShare = 0;

  constructor(
    clock: ManualClock,
    private readonly code: ErrorCode,
    private readonly random: RandomSource,
  ) {
    super(clock);
  }

  override write(write: ConditionalWrite): Promise<WriteResult> {
    return this.random.fraction() < this.failingShare
      ? Promise.reject(new PlatformError('failed', { code: this.code }))
      : super.write(write);
  }
}

/** A task ends on one VM after another, each the only task of its job. */
async function createScene(code: ErrorCode, seed: number) {
  const clock = new ManualClock(1_000);
  const store = new FailingStore(clock, code, new RandomSource(seed));
  const { state, writer } = await createWriterFixture({ clock, store });
  const vms = Array.from({ length: VM_COUNT }, (_, index) => addVm(state, `vm-${index}`));
  let count = 0;
  const endTask = (): void => {
    const vm = vms[count % VM_COUNT];
    count += 1;
    const id = String(count).padStart(16, '0');
    const job = addJob(state, { id, steps: [createStep()] });
    state.markDirty(job.occurrences.get(0) as OccurrenceRecord);
    const end = { taskId: `${id}.0.0.0`, run: 1, ending: RunEnding.Done, checkpoint: '' };
    assert.ok(vm !== undefined);
    sendReport(state, vm, { session: 1, ended: [{ ...end, sequence: count }] }, clock.now());
  };
  const play = async (milliseconds: number): Promise<void> => {
    for (let passedMs = 0; passedMs < milliseconds; passedMs += FLUSH_INTERVAL_MS) {
      endTask();
      clock.advance(FLUSH_INTERVAL_MS);
      writer.flush(clock.now());
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  };
  /** Sequence numbers of the ends that were applied and are not acknowledged. */
  const listWaiting = (): number[] =>
    vms.flatMap(({ unsettledEnds }) => unsettledEnds.map(({ sequence }) => sequence));
  return { store, play, listWaiting };
}

for (const code of [ErrorCode.Unavailable, ErrorCode.Throttled, ErrorCode.OutcomeUnknown]) {
  for (const [share, seed] of [
    [0.5, 1],
    [0.7, 2],
    [0.9, 3],
    [0.9, 4],
    [1, 5],
  ] as [number, number][]) {
    test(`acknowledges all ends in time after a store that failed ${share} of the calls (${code}, seed ${seed})`, async () => {
      const { store, play, listWaiting } = await createScene(code, seed);
      await play(WORKING_MS);
      store.failingShare = share;
      await play(FAILING_MS);
      store.failingShare = 0;
      const waiting = new Set(listWaiting());
      await play(ACKNOWLEDGED_MAXIMUM_MS);
      const late = listWaiting().filter((sequence) => waiting.has(sequence));
      assert.equal(late.length, 0, `${late.length} of ${waiting.size} ends wait`);
    });
  }
}
