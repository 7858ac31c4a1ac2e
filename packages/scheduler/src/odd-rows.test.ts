/**
 * Guards against one odd row of another writer that ends a process, keeps the scheduler from ticking or from being
 * replaced, or drops a good job: very deeply nested, with a number too large, of another type, or with a port that
 * doesn't exist.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import { applyEnd, encodeProgress, placeTasks } from '@figjunction/scheduling';
import { addJob, addVm, createState, createStep } from '@figjunction/scheduling/cell-fixture';
import type { WatchParameters, WatchResult } from '@figjunction/store';
import { ManualClock, sleep } from '@figjunction/time';
import { RpcMethod, RunEnding } from '@figjunction/types';
import type { JobRow, JobState, ProgressRow } from '@figjunction/types';
import { createCellContext } from './cell-context-fixture.js';
import { CELL_PARTITION, CellCollection, jobPartition } from './cell-collections.js';
import { CellScheduler } from './cell-scheduler.js';
import { loadCell, listRunnersWithRuns } from './cell-loader.js';
import { MemoryFeedStore } from './memory-feed-store.js';
import { OwnerDirectory } from './owner-directory.js';
import { progressRowSchema } from './row-schemas.js';

const GOOD_JOB = '00000000000000aa';
const ODD_JOB = '00000000000000ba';
const WATCH_PACE_MS = 5;
/** A task that has failed again and again restarts after this time. */
const RESTART_DELAY_MS = 1_000;
const NESTING_LEVELS = 30_000;
const { policy, specification } = addJob(createState(), { steps: [createStep({ taskCount: 2 })] });
const JOB: JobRow = { policy, specification, submittedAtStoreMs: 0 };
const PROGRESS: ProgressRow = {
  state: 'running' as JobState,
  done: ['10'],
  failures: {},
  runners: ['vm-1'],
};
const OWNER = { epoch: 7, address: 'http://127.0.0.1:1', processId: 'before' };
const LEASE = { epoch: 7, leasedUntilStoreMs: 500 };

function nest(levels: number): unknown {
  return JSON.parse(`${'['.repeat(levels)}${']'.repeat(levels)}`);
}

/** A watch that returns at once, again and again, would keep timers from running. */
class PacedFeedStore extends MemoryFeedStore {
  override async watch(parameters: WatchParameters): Promise<WatchResult> {
    await sleep(WATCH_PACE_MS);
    return super.watch(parameters);
  }
}

interface Cell {
  clock: ManualClock;
  store: MemoryFeedStore;
  events: RecordingEventLog;
  write: (collection: CellCollection, key: string, value: unknown) => Promise<void>;
  /** Takes the cell over and lets the scheduler tick. */
  takeOver: () => Promise<{ epoch: number; states: (JobState | null)[] }>;
}

async function createCell(): Promise<Cell> {
  const clock = new ManualClock(1_000);
  const store = new PacedFeedStore(clock);
  const events = new RecordingEventLog();
  const context = createCellContext(clock, { store, events });
  const write: Cell['write'] = async (collection, key, value) => {
    const isGatewayRow = collection === CellCollection.Jobs;
    const partition = isGatewayRow ? jobPartition(key) : CELL_PARTITION;
    await store.write({ partition, writes: [{ collection, key, value }] });
  };
  const takeOver: Cell['takeOver'] = async () => {
    const directory = new OwnerDirectory(context);
    const scheduler = new CellScheduler({ context, directory });
    const view = await directory.refresh();
    assert.ok(view !== null);
    context.storeClock.observe(view.storeMs, clock.now());
    await scheduler.takeOver(view, 'test');
    await sleep(20);
    const handlers = scheduler.handlers();
    const query = { jobIds: [GOOD_JOB, ODD_JOB] };
    const result = await handlers[RpcMethod.JobStates]?.(query, null as never);
    const epoch = directory.owner?.epoch ?? 0;
    await scheduler.stop();
    return { epoch, states: result?.states ?? [] };
  };
  await write(CellCollection.Cells, 'owner', OWNER);
  await write(CellCollection.Cells, 'lease', LEASE);
  await write(CellCollection.Jobs, GOOD_JOB, JOB);
  return { clock, store, events, write, takeOver };
}

const oddValues: [string, unknown][] = [
  ['a number', 5],
  ['an object without fields', {}],
  ['a list that is nested very deeply', nest(NESTING_LEVELS)],
  ['a port out of range', { ...OWNER, address: 'http://127.0.0.1:99999' }],
  ['an address that is nested very deeply', { ...OWNER, address: nest(NESTING_LEVELS) }],
  ['a number too large', { ...OWNER, epoch: 1e300 }],
  ['a number that is a text', { ...OWNER, epoch: '7' }],
];

for (const [name, value] of oddValues) {
  test(`takes the cell over under a higher epoch after an owner row with ${name}`, async () => {
    const { write, takeOver, events } = await createCell();
    await write(CellCollection.Cells, 'owner', value);
    const { epoch, states } = await takeOver();
    assert.equal(epoch, LEASE.epoch + 1);
    assert.deepEqual(states, ['queued', null]);
    assert.equal(events.fieldsOf('row-unreadable').length, 1);
  });
}

const oddRunners: [string, unknown][] = [
  ['a number', 5],
  ['an object without fields', {}],
  ['a port out of range', { address: 'http://127.0.0.1:99999' }],
  ['an address that is no URL', { address: '127.0.0.1' }],
  ['an address that is nested very deeply', { address: nest(NESTING_LEVELS) }],
];

for (const [name, value] of oddRunners) {
  test(`waits for no runner because of a runner row with ${name}`, async () => {
    const { write, store, events } = await createCell();
    await write(CellCollection.Runners, 'odd', value);
    const { runners } = await loadCell({ store, events });
    assert.deepEqual(runners, []);
    assert.equal(events.fieldsOf('row-unreadable').length, 1);
  });
}

const oddJobs: [string, unknown][] = [
  ...oddValues,
  ['no policy', { ...JOB, policy: null }],
  ['a payload that is nested very deeply', withSpecification({ payload: nest(NESTING_LEVELS) })],
  ['a queue that is nested very deeply', { ...JOB, policy: { ...policy, name: nest(30_000) } }],
  ['an interval too large', withSpecification({ intervalMs: 1e300 })],
  [
    'a step that depends on a later one',
    withSpecification({ steps: [createStep({ after: [3] })] }),
  ],
];

function withSpecification(changes: Record<string, unknown>): unknown {
  return { ...JOB, specification: { ...specification, ...changes } };
}

for (const [name, value] of oddJobs) {
  test(`schedules the other jobs beside a job row with ${name}`, async () => {
    const { write, takeOver, events } = await createCell();
    await write(CellCollection.Jobs, ODD_JOB, value);
    const { states } = await takeOver();
    assert.deepEqual(states, ['queued', null]);
    assert.deepEqual(events.fieldsOf('tick-failed'), []);
    assert.equal(events.fieldsOf('row-unreadable').length, 1);
  });
}

for (const value of [5, {}, { ...PROGRESS, done: nest(3) }, { ...PROGRESS, state: 1 }]) {
  const shown = JSON.stringify(value).slice(0, 40);
  test(`keeps a job whose progress is odd, and starts none of its tasks: ${shown}`, async () => {
    const { write, takeOver, events } = await createCell();
    await write(CellCollection.Jobs, ODD_JOB, JOB);
    await write(CellCollection.Progress, `${ODD_JOB}.0`, value);
    const { states } = await takeOver();
    assert.deepEqual(states, ['queued', 'running']);
    assert.equal(events.fieldsOf('occurrence-on-hold').length, 1);
  });
}

test('ignores progress under a key that names no occurrence', async () => {
  const { write, takeOver, events } = await createCell();
  await write(CellCollection.Progress, 'odd', PROGRESS);
  const { states } = await takeOver();
  assert.deepEqual(states, ['queued', null]);
  assert.deepEqual(events.fieldsOf('tick-failed'), []);
});

test('waits for a runner that may have runs although its own row is odd', async () => {
  const { write, store, events } = await createCell();
  await write(CellCollection.Runners, 'vm-1', 5);
  await write(CellCollection.Progress, `${GOOD_JOB}.0`, PROGRESS);
  const loaded = await loadCell({ store, events });
  assert.deepEqual([...listRunnersWithRuns(loaded)], ['vm-1']);
});

test('reads a lease that would last for ever as none', async () => {
  const { write, store, clock, events } = await createCell();
  await write(CellCollection.Cells, 'lease', { epoch: 7, leasedUntilStoreMs: 1e300 });
  const directory = new OwnerDirectory({ store, storeClock: {} as never, clock, events });
  assert.equal((await directory.refresh())?.lease, null);
});

test('can read the progress that it stores for a long-running task that fails again and again', () => {
  const state = createState();
  const vm = addVm(state);
  const job = addJob(state, { id: GOOD_JOB, steps: [createStep({ longRunning: true })] });
  const occurrence = job.occurrences.get(0);
  assert.ok(occurrence);
  for (let now = 0; now < 5_000 * RESTART_DELAY_MS; now += RESTART_DELAY_MS) {
    const [record] = placeTasks(state, now).started;
    assert.ok(record);
    const end = { sequence: 1, ending: RunEnding.Failed, checkpoint: '' };
    applyEnd(state, { task: record.task, record, run: record.run, ...end }, now);
  }
  assert.equal(vm.runs.size, 0);
  const row = encodeProgress(occurrence, state.unreportedVms);
  assert.equal(progressRowSchema.safeParse(row).success, true);
});

test('schedules the good job beside any row of any collection', async () => {
  const collections = fc.constantFrom(...Object.values(CellCollection));
  const keys = fc.constantFrom(ODD_JOB, `${ODD_JOB}.0`, 'owner', 'lease', 'commit', 'vm-1', 'odd');
  await fc.assert(
    fc.asyncProperty(collections, keys, fc.jsonValue({ maxDepth: 5 }), async (...row) => {
      const { write, takeOver, events } = await createCell();
      await write(...row);
      const { states } = await takeOver();
      assert.equal(states[0], 'queued');
      assert.deepEqual(events.fieldsOf('tick-failed'), []);
    }),
    { seed: 27, numRuns: 40 },
  );
});
