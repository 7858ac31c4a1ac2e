/**
 * Guards against one row that the store refuses, for whatever reason, and that holds back all others.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ErrorCode } from '@figjunction/errors';
import type { OccurrenceRecord, VmRecord } from '@figjunction/scheduling';
import { addJob, addVm, createStep, sendReport } from '@figjunction/scheduling/cell-fixture';
import { PlatformError } from '@figjunction/store';
import type { ConditionalWrite, RowWrite, WriteResult } from '@figjunction/store';
import { ManualClock } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import type { ProgressRow } from '@figjunction/types';
import { CELL_PARTITION, CellCollection } from './cell-collections.js';
import { loadCell } from './cell-loader.js';
import { MemoryFeedStore, StoreFault } from './memory-feed-store.js';
import { createWriterFixture } from './progress-writer-fixture.js';

const FLUSH_INTERVAL_MS = 50;
/** All rows but the refused ones have to be stored by then. */
const HELD_BACK_MAXIMUM_MS = 10_000;

/** Refuses calls that are larger than the platform takes, and those with certain rows. */
class ChoosyFeedStore extends MemoryFeedStore {
  readonly refusedKeys = new Set<string>();

  refusal = ErrorCode.InvalidInput;

  /** If true, the rows under these keys are refused for what they contain, so others can be stored there. */
  refusesProgressOnly = false;

  calls = 0;

  override write(write: ConditionalWrite): Promise<WriteResult> {
    this.calls += 1;
    const rows = [...(write.writes ?? []), ...(write.removals ?? [])];
    const isRefused = ({ key, ...row }: RowWrite): boolean =>
      this.refusedKeys.has(key) && !(this.refusesProgressOnly && isHeldRow(row.value));
    const isTooLarge = JSON.stringify(rows).length > 750_000 || rows.length > 98;
    if (isTooLarge || rows.some((row) => isRefused({ value: null, ...row }))) {
      const code = isTooLarge ? ErrorCode.TooLarge : this.refusal;
      return Promise.reject(new PlatformError('refused', { code }));
    }
    return super.write(write);
  }
}

function isHeldRow(value: unknown): boolean {
  return typeof value === 'object' && value !== null && 'held' in value;
}

async function createScene() {
  const clock = new ManualClock(1_000);
  const store = new ChoosyFeedStore(clock);
  const registered: string[] = [];
  const onRunnerRegistered = (id: string): number => registered.push(id);
  const { context, state, writer } = await createWriterFixture({
    clock,
    store,
    onRunnerRegistered,
  });
  const addDirtyJob = (index: number, taskCount = 1): OccurrenceRecord => {
    const id = String(index).padStart(16, '0');
    const job = addJob(state, { id, steps: [createStep({ taskCount })] });
    const occurrence = job.occurrences.get(0) as OccurrenceRecord;
    state.markDirty(occurrence);
    return occurrence;
  };
  /** Flushes as often as a scheduler does until the condition holds or the time is over. Returns the time taken. */
  const flushUntil = async (isDone: () => boolean, maximumMs = HELD_BACK_MAXIMUM_MS) => {
    const startedAt = clock.now();
    while (!isDone() && clock.now() - startedAt < maximumMs) {
      clock.advance(FLUSH_INTERVAL_MS);
      writer.flush(clock.now());
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    assert.ok(isDone(), `not done after ${maximumMs} ms`);
    return clock.now() - startedAt;
  };
  const storedKeys = async (): Promise<Set<string>> => {
    const range = { collection: CellCollection.Progress, partition: CELL_PARTITION };
    return new Set((await store.readRange(range)).rows.map(({ key }) => key));
  };
  return { context, store, state, writer, registered, addDirtyJob, flushUntil, storedKeys };
}

const REFUSALS = [
  ErrorCode.InvalidInput,
  ErrorCode.TooLarge,
  ErrorCode.Forbidden,
  ErrorCode.OutcomeUnknown,
  ErrorCode.Unavailable,
  ErrorCode.Throttled,
];

for (const refusal of REFUSALS) {
  for (const [count, refused] of [
    [1, [0]],
    [2, [0]],
    [2, [1]],
    [97, [0]],
    [98, [97]],
    [300, [150]],
    [300, [0, 96, 97, 299]],
  ] as [number, number[]][]) {
    test(`stores the other rows of ${count} beside refused ones (${refused.join(', ')}; ${refusal})`, async () => {
      const scene = await createScene();
      const { store, state, addDirtyJob, flushUntil, storedKeys } = scene;
      store.refusal = refusal;
      // A row is stored first, as in a scheduler that has worked for a while.
      addDirtyJob(10_000);
      await flushUntil(() => state.dirty.size === 0);
      const occurrences = Array.from({ length: count }, (_, index) => addDirtyJob(index));
      refused.forEach((index) => store.refusedKeys.add(`${occurrences[index]?.job.id}.0`));
      await flushUntil(() => state.dirty.size === refused.length);
      assert.equal((await storedKeys()).size, count - refused.length + 1);
      // Rows that come later are not held back either.
      addDirtyJob(20_000);
      const laterMs = await flushUntil(() => state.dirty.size === refused.length, 1_000);
      assert.ok(laterMs <= 1_000);
      store.refusedKeys.clear();
      await flushUntil(() => state.dirty.size === 0);
    });
  }
}

/** Two VMs report an end each: one of a task whose row is refused, one of a task of another job. */
async function createSceneWithRefusedEnd() {
  const scene = await createScene();
  const { store, state, addDirtyJob, flushUntil } = scene;
  const [refused, good] = [addDirtyJob(1), addDirtyJob(2)];
  await flushUntil(() => state.dirty.size === 0);
  store.refusedKeys.add(`${refused.job.id}.0`);
  const [waiting, other] = [addVm(state, 'vm-1'), addVm(state, 'vm-2')];
  const reportDone = (vm: VmRecord, sequence: number, occurrence: OccurrenceRecord): void => {
    const end = { sequence, taskId: `${occurrence.job.id}.0.0.0`, run: 1 };
    const ended = [{ ...end, ending: RunEnding.Done, checkpoint: '' }];
    sendReport(state, vm, { session: vm.session, ended });
  };
  reportDone(waiting, 7, refused);
  reportDone(other, 8, good);
  const storedValue = (): unknown =>
    store.findValue(CellCollection.Progress, CELL_PARTITION, `${refused.job.id}.0`);
  return { ...scene, waiting, other, refused, storedValue };
}

for (const refusal of REFUSALS) {
  test(`acknowledges the ends of other VMs at once, and none whose row is refused (${refusal})`, async () => {
    const scene = await createSceneWithRefusedEnd();
    const { store, state, waiting, other, flushUntil } = scene;
    store.refusal = refusal;
    await flushUntil(() => other.settledThrough === 8, 1_000);
    await assert.rejects(flushUntil(() => waiting.settledThrough > 0, 60_000));
    store.refusedKeys.clear();
    await flushUntil(() => state.dirty.size === 0);
    assert.equal(waiting.settledThrough, 7);
  });
}

test('acknowledges ends of a row that is refused for good once later schedulers hold its tasks', async () => {
  const scene = await createSceneWithRefusedEnd();
  const { store, waiting, flushUntil, storedValue, context } = scene;
  store.refusesProgressOnly = true;
  await flushUntil(() => waiting.settledThrough > 0 || isHeldRow(storedValue()));
  assert.ok(isHeldRow(storedValue()));
  await flushUntil(() => waiting.settledThrough === 7, 1_000);
  const { unreadableProgress } = await loadCell(context);
  assert.deepEqual(unreadableProgress, [`${scene.refused.job.id}.0`]);
});

test('stores the row itself, in place of the substitute, once it is no longer refused', async () => {
  const scene = await createSceneWithRefusedEnd();
  const { store, state, waiting, flushUntil, storedValue } = scene;
  store.refusesProgressOnly = true;
  await flushUntil(() => waiting.settledThrough === 7);
  store.refusedKeys.clear();
  await flushUntil(() => state.dirty.size === 0);
  assert.deepEqual((storedValue() as ProgressRow).done, ['1']);
});

test('takes no outage for a refusal: ends wait for their row, and no substitute is stored', async () => {
  const { store, waiting, flushUntil, storedValue } = await createSceneWithRefusedEnd();
  store.refusesProgressOnly = true;
  store.refusal = ErrorCode.Unavailable;
  await assert.rejects(flushUntil(() => isHeldRow(storedValue()), 60_000));
  assert.equal(waiting.settledThrough, 0);
});

test('stores rows and registers runners beside a runner whose row is refused', async () => {
  const { store, state, writer, registered, addDirtyJob, flushUntil } = await createScene();
  store.refusedKeys.add('runner-bad');
  ['runner-1', 'runner-bad', 'runner-2'].forEach((id) => writer.registerRunner(id, 'http://a:1'));
  addDirtyJob(1);
  await flushUntil(() => state.dirty.size === 0 && registered.length === 2);
  assert.deepEqual(registered.sort(), ['runner-1', 'runner-2']);
});

test('removes a job with more occurrences than a transaction holds, and those after it', async () => {
  const { state, writer, addDirtyJob, flushUntil, storedKeys } = await createScene();
  const [large, small] = [addDirtyJob(1), addDirtyJob(2)];
  for (let index = 1; index < 250; index += 1) {
    large.job.occurrences.set(index, { ...large, index });
    state.markDirty({ ...large, index });
  }
  await flushUntil(() => state.dirty.size === 0);
  assert.equal((await storedKeys()).size, 251);
  writer.removeJob(large.job);
  writer.removeJob(small.job);
  await flushUntil(() => state.jobs.size === 0);
  assert.equal((await storedKeys()).size, 0);
});

test('stores rows that together are larger than a call', async () => {
  const { state, addDirtyJob, flushUntil } = await createScene();
  for (let index = 0; index < 97; index += 1) {
    addDirtyJob(index, 10_000);
  }
  await flushUntil(() => state.dirty.size === 0);
});

test('delays no row for long after an outage of the store', async () => {
  const { store, state, addDirtyJob, flushUntil } = await createScene();
  addDirtyJob(10_000);
  await flushUntil(() => state.dirty.size === 0);
  Array.from({ length: 200 }, (_, index) => addDirtyJob(index));
  store.fault = StoreFault.Unavailable;
  await assert.rejects(flushUntil(() => state.dirty.size === 0, 8_000));
  store.fault = StoreFault.None;
  assert.ok((await flushUntil(() => state.dirty.size === 0)) <= 2_000);
});
