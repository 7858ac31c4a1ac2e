/**
 * Guards against two processes scheduling one cell at the same time. It could come about through lost
 * responses, outages of the store, or a suspended VM.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import { StoreClock } from '@figjunction/store';
import { ManualClock } from '@figjunction/time';
import { CellLease, RenewalOutcome } from './cell-lease.js';
import { CELL_PARTITION, CellCollection } from './cell-collections.js';
import { MemoryFeedStore, StoreFault } from './memory-feed-store.js';
import { OwnerDirectory } from './owner-directory.js';

class SteppingClock extends ManualClock {
  wallStepMs = 0;

  override wallTimeMs(): number {
    return this.now() + this.wallStepMs;
  }
}

function createCell() {
  const clock = new SteppingClock(1_000);
  const store = new MemoryFeedStore(clock);
  const createProcess = (processId: string) => {
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
      return lease.acquire(view);
    };
    const renew = async (): Promise<RenewalOutcome> => {
      clock.advance(800);
      storeClock.observe(clock.now(), clock.now());
      return lease.renew();
    };
    return { lease, takeOver, renew };
  };
  return { clock, store, first: createProcess('first'), second: createProcess('second') };
}

test('only one of two processes that race for the cell acquires the lease', async () => {
  const { store, first, second } = createCell();
  store.beforeWrite = async () => {
    assert.equal(await second.takeOver(), true);
  };
  assert.equal(await first.takeOver(), false);
  assert.equal(first.lease.isHeld(), false);
  assert.equal(second.lease.isHeld(), true);
});

test('the holder stops acting before the end of the lease in the row', async () => {
  const { clock, first } = createCell();
  await first.takeOver();
  clock.advance(2_700);
  assert.equal(first.lease.isHeld(), true);
  clock.advance(200);
  assert.equal(first.lease.isHeld(), false);
});

test('a renewal detects that another process has taken over', async () => {
  const { first, second } = createCell();
  await first.takeOver();
  await second.takeOver();
  assert.equal(await first.renew(), RenewalOutcome.Deposed);
  assert.equal(first.lease.isHeld(), false);
  assert.equal(second.lease.epoch, 2);
});

test('the fencing condition rejects the writes of a deposed process', async () => {
  const { store, first, second } = createCell();
  await first.takeOver();
  const expected = [first.lease.fencingExpectation()];
  await second.takeOver();
  const writes = [{ collection: CellCollection.Progress, key: 'a.0', value: {} }];
  const result = await store.write({ partition: CELL_PARTITION, expected, writes });
  assert.equal(result.committed, false);
});

test('the next renewal succeeds after one whose response was lost', async () => {
  const { store, first } = createCell();
  await first.takeOver();
  store.fault = StoreFault.LosesResponses;
  assert.equal(await first.renew(), RenewalOutcome.Failed);
  store.fault = StoreFault.None;
  assert.equal(await first.renew(), RenewalOutcome.Renewed);
  assert.equal(first.lease.isHeld(), true);
});

test('the lease expires during a longer outage of the store and is renewed afterwards', async () => {
  const { clock, store, first } = createCell();
  await first.takeOver();
  store.fault = StoreFault.Unavailable;
  clock.advance(4_000);
  assert.equal(await first.renew(), RenewalOutcome.Failed);
  assert.equal(first.lease.isHeld(), false);
  store.fault = StoreFault.None;
  assert.equal(await first.renew(), RenewalOutcome.Renewed);
  assert.equal(first.lease.isHeld(), true);
});

test('the lease is not held after a suspension that the steady clock missed, until it is renewed', async () => {
  const { clock, first } = createCell();
  await first.takeOver();
  clock.wallStepMs = 5_000;
  assert.equal(first.lease.isHeld(), false);
  assert.equal(await first.renew(), RenewalOutcome.Renewed);
  assert.equal(first.lease.isHeld(), true);
});

test('another process can acquire the cell as soon as the lease is released', async () => {
  const { first, second } = createCell();
  await first.takeOver();
  await first.lease.release();
  assert.equal(first.lease.isHeld(), false);
  assert.equal(await second.takeOver(), true);
});
