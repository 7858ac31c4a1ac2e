/**
 * Guards against two processes that schedule one cell at the same time, under lost answers, outages of the
 * store, and suspended VMs.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
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
    const directory = new OwnerDirectory({ store, storeClock, clock, minimumReadIntervalMs: 0 });
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

test('gives the cell to one of two processes that race for it', async () => {
  const { store, first, second } = createCell();
  store.beforeWrite = async () => {
    assert.equal(await second.takeOver(), true);
  };
  assert.equal(await first.takeOver(), false);
  assert.equal(first.lease.isHeld(), false);
  assert.equal(second.lease.isHeld(), true);
});

test('ends before the time that the row shows', async () => {
  const { clock, first } = createCell();
  await first.takeOver();
  clock.advance(2_700);
  assert.equal(first.lease.isHeld(), true);
  clock.advance(200);
  assert.equal(first.lease.isHeld(), false);
});

test('notices at its renewal that another process has taken over', async () => {
  const { first, second } = createCell();
  await first.takeOver();
  await second.takeOver();
  assert.equal(await first.renew(), RenewalOutcome.Deposed);
  assert.equal(first.lease.isHeld(), false);
  assert.equal(second.lease.epoch, 2);
});

test('a deposed process can write nothing more under its condition', async () => {
  const { store, first, second } = createCell();
  await first.takeOver();
  const expected = [first.lease.fencingExpectation()];
  await second.takeOver();
  const writes = [{ collection: CellCollection.Progress, key: 'a.0', value: {} }];
  const result = await store.write({ partition: CELL_PARTITION, expected, writes });
  assert.equal(result.committed, false);
});

test('goes on after a renewal whose answer was lost', async () => {
  const { store, first } = createCell();
  await first.takeOver();
  store.fault = StoreFault.LosesResponses;
  assert.equal(await first.renew(), RenewalOutcome.Failed);
  store.fault = StoreFault.None;
  assert.equal(await first.renew(), RenewalOutcome.Renewed);
  assert.equal(first.lease.isHeld(), true);
});

test('is not held while the store is away for longer than the lease, and is again afterwards', async () => {
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

test('is not held after a suspension that the steady clock does not show, until it is renewed', async () => {
  const { clock, first } = createCell();
  await first.takeOver();
  clock.wallStepMs = 5_000;
  assert.equal(first.lease.isHeld(), false);
  assert.equal(await first.renew(), RenewalOutcome.Renewed);
  assert.equal(first.lease.isHeld(), true);
});

test('hands the cell over at once when it is released', async () => {
  const { first, second } = createCell();
  await first.takeOver();
  await first.lease.release();
  assert.equal(first.lease.isHeld(), false);
  assert.equal(await second.takeOver(), true);
});
