/**
 * Guards against progress that goes back, is settled before it is stored, or is lost with an answer.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EventLog, createLogger } from '@figjunction/logger';
import { RpcClient } from '@figjunction/rpc';
import { CellState, createJob, createOccurrence, updateReadySteps } from '@figjunction/scheduling';
import type { JobRecord } from '@figjunction/scheduling';
import { StoreClock } from '@figjunction/store';
import { Metrics } from '@figjunction/telemetry';
import { ManualClock } from '@figjunction/time';
import type { ProgressRow, StepSpecification } from '@figjunction/types';
import { Adviser } from './adviser.js';
import type { CellContext } from './cell-context.js';
import { CellLease } from './cell-lease.js';
import { CELL_PARTITION, CellCollection, jobPartition } from './cell-tables.js';
import { MemoryFeedStore, StoreFault } from './memory-feed-store.js';
import { OwnerDirectory } from './owner-directory.js';
import { ProgressWriter } from './progress-writer.js';

const JOB_ID = '00000000000000aa';
const STEP: StepSpecification = {
  taskCount: 2,
  resources: { processorMillicores: 100, memoryMegabytes: 10, accelerators: 0 },
  estimateMs: 100,
  after: [],
  checkpoints: false,
  gang: false,
  sameRack: false,
  requiredLabel: null,
  preferredRack: null,
  tasksPerVmMaximum: null,
  duplicatesAllowed: false,
  longRunning: false,
  image: null,
  latencyTargetMs: null,
  fills: false,
  unavailableMaximum: null,
};
const POLICY = {
  name: 'labels',
  host: 'labels.example',
  pathPrefix: '/labels/',
  service: 'printing',
  priority: 0,
  attemptsMaximum: 2,
  slackFactor: 1,
  objectiveMs: 100,
  advice: null,
};

class NoAdviser extends Adviser {
  override advise(): Promise<never[]> {
    return Promise.resolve([]);
  }
}

function createContext(clock: ManualClock, store: MemoryFeedStore): CellContext {
  const logger = createLogger({ name: 'test', level: 'silent' });
  return {
    store,
    storeClock: new StoreClock(clock),
    clock,
    events: new EventLog({ logger, now: () => clock.now() }),
    metrics: new Metrics(),
    rpc: new RpcClient({ sharedToken: 'token' }),
    adviser: new NoAdviser(),
    address: 'http://127.0.0.1:1',
    processId: 'process-1',
    grantMs: 5_000,
    statusMs: 60_000,
  };
}

function addJob(state: CellState): JobRecord {
  const specification = {
    payload: 'print',
    steps: [STEP],
    occurrences: 0,
    firstDueWallMs: 0,
    intervalMs: 0,
  };
  const job = createJob({
    id: JOB_ID,
    policy: POLICY,
    specification,
    submittedAt: 0,
    inherited: false,
  });
  state.jobs.set(JOB_ID, job);
  const occurrence = createOccurrence(job, 0, 0, 0);
  state.activate(occurrence);
  updateReadySteps(occurrence, 0);
  return job;
}

async function createWriter() {
  const clock = new ManualClock(1_000);
  const store = new MemoryFeedStore(clock);
  const context = createContext(clock, store);
  const lease = new CellLease(context);
  const directory = new OwnerDirectory(context);
  const view = await directory.refresh();
  assert.ok(view !== null && (await lease.acquire(view)));
  const state = new CellState();
  const job = addJob(state);
  let deposed = 0;
  const writer = new ProgressWriter({
    context,
    state,
    lease,
    onRegistered: () => {},
    onDeposed: () => {
      deposed += 1;
    },
    onStored: () => {},
  });
  const completeTask = (index: number): void => {
    const occurrence = job.occurrences.get(0);
    const task = occurrence?.steps[0]?.tasks[index];
    assert.ok(occurrence !== undefined && task !== undefined);
    task.done = true;
    state.markDirty(occurrence);
  };
  const flush = async (): Promise<void> => {
    clock.advance(1_000);
    writer.flush(clock.now());
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  };
  const storedMarks = async (): Promise<string | undefined> => {
    const range = { collection: CellCollection.Progress, partition: CELL_PARTITION };
    const { rows } = await store.readRange<ProgressRow>(range);
    return rows[0]?.value?.done[0];
  };
  return { store, state, job, writer, completeTask, flush, storedMarks, deposed: () => deposed };
}

test('a write that takes effect late does not replace a later one', async () => {
  const { store, completeTask, flush, storedMarks } = await createWriter();
  completeTask(0);
  store.fault = StoreFault.Delays;
  await flush();
  store.fault = StoreFault.None;
  completeTask(1);
  await flush();
  assert.equal(await storedMarks(), '11');
  store.applyDelayed();
  assert.equal(await storedMarks(), '11');
});

test('goes on after a write whose answer was lost', async () => {
  const { store, completeTask, flush, storedMarks, deposed } = await createWriter();
  completeTask(0);
  store.fault = StoreFault.LosesAnswers;
  await flush();
  store.fault = StoreFault.None;
  completeTask(1);
  await flush();
  await flush();
  assert.equal(await storedMarks(), '11');
  assert.equal(deposed(), 0);
});

test('settles ends only after their effect is stored', async () => {
  const { store, state, completeTask, flush } = await createWriter();
  const vm = state.addVm('vm-1', 'http://127.0.0.1:1');
  completeTask(0);
  vm.lastEnd = 4;
  store.fault = StoreFault.Refuses;
  await flush();
  assert.equal(vm.settledThrough, 0);
  store.fault = StoreFault.None;
  await flush();
  assert.equal(vm.settledThrough, 4);
});

test('removes the rows of a job before its progress', async () => {
  const { store, state, job, writer, completeTask, flush, storedMarks } = await createWriter();
  const jobs = { collection: CellCollection.Jobs, partition: jobPartition(JOB_ID) };
  const writes = [{ collection: CellCollection.Jobs, key: JOB_ID, value: {} }];
  await store.write({ partition: jobPartition(JOB_ID), writes });
  completeTask(0);
  await flush();
  store.fault = StoreFault.Refuses;
  writer.remove(job);
  await flush();
  assert.equal(state.jobs.size, 1);
  store.fault = StoreFault.None;
  writer.remove(job);
  await flush();
  await flush();
  assert.equal((await store.readRange(jobs)).rows.length, 0);
  assert.equal(await storedMarks(), undefined);
  assert.equal(state.jobs.size, 0);
});
