/**
 * Guards against a removed job that comes back from a list of all jobs which was read before the removal: its progress is
 * gone, so its tasks would start again.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { placeTasks } from '@figjunction/scheduling';
import {
  addJob,
  addVm,
  createState,
  createStep,
  sendReport,
} from '@figjunction/scheduling/cell-fixture';
import type {
  RangeParameters,
  RangeResult,
  WatchParameters,
  WatchResult,
} from '@figjunction/store';
import { ManualClock, sleep } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import type { JobRow } from '@figjunction/types';
import { CellCollection, jobPartition } from './cell-collections.js';
import { JobIntake } from './job-intake.js';
import { createJobWatches } from './job-watches.js';
import { MemoryFeedStore } from './memory-feed-store.js';
import { createWriterFixture } from './progress-writer-fixture.js';

const JOB_ID = '00000000000000aa';
const FLUSH_INTERVAL_MS = 50;
const WAIT_MAXIMUM_MS = 2_000;

/** Reads rows at once, and can keep the responses back. */
class SlowReadStore extends MemoryFeedStore {
  isReadHeldBack = false;

  heldBackCount = 0;

  override async readRange(parameters: RangeParameters): Promise<RangeResult> {
    const result = await super.readRange(parameters);
    if (this.isReadHeldBack) {
      this.heldBackCount += 1;
      await waitUntil(() => !this.isReadHeldBack);
    }
    return result;
  }

  override async watch(parameters: WatchParameters): Promise<WatchResult> {
    await sleep(1);
    return super.watch(parameters);
  }
}

async function waitUntil(holds: () => boolean): Promise<void> {
  for (let waitedMs = 0; !holds() && waitedMs < WAIT_MAXIMUM_MS; waitedMs += 1) {
    await sleep(1);
  }
  assert.ok(holds(), holds.toString());
}

/** A scheduler that follows the jobs in the store, with a VM and a job of one task. */
async function createScene() {
  const clock = new ManualClock(1_000);
  const store = new SlowReadStore(clock);
  const { context, state, writer } = await createWriterFixture({ clock, store });
  const intake = new JobIntake({ context, state, epoch: 1 });
  const nothing = (): void => {};
  const loaded = { jobsVersion: 0, cancellationsVersion: 0 };
  const freshness = { confirm: nothing };
  const watches = createJobWatches({ context, loaded, intake, freshness, wake: nothing });
  const flushUntil = (holds: () => boolean): Promise<void> =>
    waitUntil(() => {
      clock.advance(FLUSH_INTERVAL_MS);
      writer.flush(clock.now());
      return holds();
    });
  const { policy, specification } = addJob(createState(), { steps: [createStep()] });
  const value: JobRow = { policy, specification, submittedAtStoreMs: 0 };
  const submit = async (): Promise<void> => {
    const writes = [{ collection: CellCollection.Jobs, key: JOB_ID, value }];
    await store.write({ partition: jobPartition(JOB_ID), writes });
  };
  const vm = addVm(state, 'vm-1');
  return { clock, store, state, writer, vm, watches, flushUntil, submit };
}

type Scene = Awaited<ReturnType<typeof createScene>>;

/** Completes the job and removes it while the watch waits for the list of all jobs, which then arrives. */
async function removeDuringRead(scene: Scene): Promise<void> {
  const { store, state, writer, vm, flushUntil } = scene;
  const job = state.jobs.get(JOB_ID);
  assert.ok(job !== undefined);
  const end = { sequence: 1, taskId: `${JOB_ID}.0.0.0`, run: 1 };
  const ended = [{ ...end, ending: RunEnding.Done, checkpoint: '' }];
  sendReport(state, vm, { session: 1, ended });
  await flushUntil(() => job.finishedAt !== null && vm.settledThrough === 1);
  store.isReadHeldBack = true;
  store.oldestVersion = Number.POSITIVE_INFINITY;
  await waitUntil(() => store.heldBackCount > 0);
  writer.removeJob(job);
  await flushUntil(() => state.jobs.size === 0);
  store.oldestVersion = 0;
  store.isReadHeldBack = false;
  await sleep(20);
}

test('starts no task of a removed job again that a list from before the removal contains', async () => {
  const scene = await createScene();
  const { clock, state, watches, submit } = scene;
  await submit();
  const running = Promise.all(watches.map((watch) => watch.run()));
  await waitUntil(() => state.jobs.size === 1);
  await removeDuringRead(scene);
  watches.forEach((watch) => watch.stop());
  await running;
  const started = placeTasks(state, clock.now()).started.map(({ task }) => task.id);
  assert.deepEqual(started, []);
  assert.equal(state.jobs.size, 0);
});

test('accepts a job that is submitted again after its removal', async () => {
  const scene = await createScene();
  const { state, watches, submit } = scene;
  await submit();
  const running = Promise.all(watches.map((watch) => watch.run()));
  await waitUntil(() => state.jobs.size === 1);
  await removeDuringRead(scene);
  await submit();
  await waitUntil(() => state.jobs.size === 1);
  watches.forEach((watch) => watch.stop());
  await running;
});
