/**
 * Guards against a process that was paused and then acts on a lease that has ended meanwhile. The process is
 * paused before and after each of its calls to the store, for longer than the lease, while another process takes
 * the cell over.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import { FeedStore, StoreClock } from '@figjunction/store';
import type {
  ConditionalWrite,
  RangeParameters,
  RangeResult,
  WatchParameters,
  WatchResult,
  WriteResult,
} from '@figjunction/store';
import { ManualClock } from '@figjunction/time';
import { CellLease } from './cell-lease.js';
import { CELL_PARTITION, CellCollection } from './cell-collections.js';
import { MemoryFeedStore } from './memory-feed-store.js';
import { OwnerDirectory } from './owner-directory.js';

const PAUSE_MS = 4_000;
const PROGRESS = { collection: CellCollection.Progress, key: 'job-1.0' };
const NO_PAUSE = -1;

/** Passes calls on and pauses at one of the points before and after each call. */
class PausingStore extends FeedStore {
  pointCount = 0;

  constructor(
    private readonly store: FeedStore,
    private readonly pausePoint: number,
    private readonly pause: () => Promise<void>,
  ) {
    super();
  }

  override write(write: ConditionalWrite): Promise<WriteResult> {
    return this.passOn(() => this.store.write(write));
  }

  override readRange(parameters: RangeParameters): Promise<RangeResult> {
    return this.passOn(() => this.store.readRange(parameters));
  }

  override watch(parameters: WatchParameters): Promise<WatchResult> {
    return this.passOn(() => this.store.watch(parameters));
  }

  private async passOn<Result>(call: () => Promise<Result>): Promise<Result> {
    await this.passPoint();
    const result = await call();
    await this.passPoint();
    return result;
  }

  private async passPoint(): Promise<void> {
    const point = this.pointCount;
    this.pointCount += 1;
    if (point === this.pausePoint) {
      await this.pause();
    }
  }
}

function createProcess(store: FeedStore, clock: ManualClock, processId: string) {
  const storeClock = new StoreClock(clock);
  const directory = new OwnerDirectory({
    store,
    storeClock,
    clock,
    events: new RecordingEventLog(),
    minimumReadIntervalMs: 0,
  });
  const lease = new CellLease({ store, storeClock, clock, address: processId, processId });
  const takeOver = async (): Promise<boolean> => {
    const view = await directory.refresh();
    assert.ok(view !== null);
    storeClock.observe(view.storeMs, clock.now());
    // The policy of take-overs leaves a cell with a valid lease alone.
    const isLeased = view.lease !== null && view.lease.leasedUntilStoreMs > view.storeMs;
    return !isLeased && lease.acquire(view);
  };
  const storeProgress = async (value: string): Promise<void> => {
    await store.write({
      partition: CELL_PARTITION,
      expected: [lease.fencingExpectation()],
      writes: [{ ...PROGRESS, value }],
    });
  };
  return { lease, takeOver, storeProgress };
}

/** Plays the life of a scheduler that is paused at one point. Returns what the test has to check. */
async function playWithPause(pausePoint: number) {
  const clock = new ManualClock(1_000);
  const store = new MemoryFeedStore(clock);
  const rival = createProcess(store, clock, 'rival');
  let rivalHasTakenOver = false;
  const pausingStore = new PausingStore(store, pausePoint, async () => {
    clock.advance(PAUSE_MS);
    rivalHasTakenOver = await rival.takeOver();
    await rival.storeProgress('by rival');
  });
  const paused = createProcess(pausingStore, clock, 'paused');
  const hasTakenOver = await paused.takeOver();
  if (hasTakenOver) {
    await paused.storeProgress('by paused, first');
    clock.advance(800);
    await paused.lease.renew();
    await paused.storeProgress('by paused, second');
  }
  const range = { collection: CellCollection.Progress, partition: CELL_PARTITION };
  const { rows } = await store.readRange(range);
  const { pointCount } = pausingStore;
  return { paused, rival, rivalHasTakenOver, pointCount, progress: rows[0]?.value };
}

test('a process without a pause keeps the cell', async () => {
  const { paused, progress } = await playWithPause(NO_PAUSE);
  assert.equal(paused.lease.isHeld(), true);
  assert.equal(progress, 'by paused, second');
});

test('a process that is paused beyond its lease, at any point, has no effect afterwards', async () => {
  const { pointCount } = await playWithPause(NO_PAUSE);
  assert.ok(pointCount >= 10);
  for (let point = 0; point < pointCount; point += 1) {
    const { paused, rival, rivalHasTakenOver, progress } = await playWithPause(point);
    assert.equal(rivalHasTakenOver, true, `point ${point}`);
    assert.equal(paused.lease.isHeld(), false, `point ${point}`);
    assert.equal(rival.lease.isHeld(), true, `point ${point}`);
    assert.equal(progress, 'by rival', `point ${point}`);
  }
});
