/**
 * Guards against missed changes when the store has discarded its history or is unavailable.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EventLog, createLogger } from '@figjunction/logger';
import { ManualClock, sleep } from '@figjunction/time';
import { CellCollection, jobPartition } from './cell-collections.js';
import { CollectionWatch } from './collection-watch.js';
import { MemoryFeedStore, StoreFault } from './memory-feed-store.js';

const collection = CellCollection.Jobs;

async function watchWhile(
  prepare: (store: MemoryFeedStore) => Promise<void>,
): Promise<Set<string>> {
  const store = new MemoryFeedStore(new ManualClock());
  const logger = createLogger({ name: 'test', level: 'silent' });
  const events = new EventLog({ logger, now: () => 0 });
  const seen = new Set<string>();
  const watch = new CollectionWatch({
    context: { store, events, clock: new ManualClock() },
    collection,
    afterVersion: 0,
    onRows: (rows) => {
      rows.forEach(({ key }) => seen.add(key));
      watch.stop();
    },
  });
  await prepare(store);
  const running = watch.run();
  await sleep(20);
  store.fault = StoreFault.None;
  await running;
  return seen;
}

async function addJob(store: MemoryFeedStore): Promise<void> {
  const writes = [{ collection, key: 'job-1', value: {} }];
  await store.write({ partition: jobPartition('job-1'), writes });
}

const cases: { name: string; prepare: (store: MemoryFeedStore) => Promise<void> }[] = [
  { name: 'of an available store', prepare: addJob },
  {
    name: 'after the store has discarded its history',
    prepare: async (store) => {
      await addJob(store);
      store.oldestVersion = 1;
    },
  },
  {
    name: 'after an outage',
    prepare: async (store) => {
      await addJob(store);
      store.fault = StoreFault.Unavailable;
    },
  },
];
for (const { name, prepare } of cases) {
  test(`delivers the changes ${name}`, async () => {
    assert.deepEqual([...(await watchWhile(prepare))], ['job-1']);
  });
}

test('asks for an answer at once at the start and after a failure, and waits for changes otherwise', async () => {
  const store = new MemoryFeedStore(new ManualClock());
  const logger = createLogger({ name: 'test', level: 'silent' });
  const events = new EventLog({ logger, now: () => 0 });
  const waits: number[] = [];
  const answer = store.watch.bind(store);
  store.watch = (parameters) => {
    waits.push(parameters.waitMs);
    return waits.length === 3 ? Promise.reject(new Error('no response')) : answer(parameters);
  };
  let confirmations = 0;
  const watch = new CollectionWatch({
    context: { store, events, clock: new ManualClock() },
    collection,
    afterVersion: 0,
    onRows: () => {},
    onConfirmed: () => {
      confirmations += 1;
      if (confirmations === 4) {
        watch.stop();
      }
    },
  });
  await watch.run();
  const [, longPollMs = 0] = waits;
  assert.ok(longPollMs > 0);
  assert.deepEqual(waits, [0, longPollMs, longPollMs, 0, longPollMs]);
});
