/**
 * Guards against one call per start under load, and against orders that are lost when a call fails.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RpcClient } from '@figjunction/rpc';
import { placeTasks } from '@figjunction/scheduling';
import type { OccurrenceRecord } from '@figjunction/scheduling';
import { addJob, addVm, createState, createStep } from '@figjunction/scheduling/cell-fixture';
import { ManualClock } from '@figjunction/time';
import { JobState } from '@figjunction/types';
import type { OrdersParameters, OrdersResult } from '@figjunction/types';
import { createCellContext } from './cell-context-fixture.js';
import { OrderSender } from './order-sender.js';

class DeferredRpcClient extends RpcClient {
  readonly calls: OrdersParameters[] = [];

  private readonly pendingResponses: ((response: OrdersResult | Error) => void)[] = [];

  constructor() {
    super({ sharedToken: 'token' });
  }

  override call<Result>(_address: string, _method: string, parameters: unknown): Promise<Result> {
    this.calls.push(parameters as OrdersParameters);
    return new Promise((resolve, reject) => {
      this.pendingResponses.push((response) =>
        response instanceof Error ? reject(response) : resolve(response as Result),
      );
    });
  }

  async respondToNext(response: OrdersResult | Error): Promise<void> {
    this.pendingResponses.shift()?.(response);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

function createSender() {
  const clock = new ManualClock(1_000);
  const rpc = new DeferredRpcClient();
  const state = createState();
  addVm(state);
  const lease = { epoch: 1, isHeld: () => true };
  const freshness = { isRecent: () => true, startsValidMs: () => 1_500 };
  const sender = new OrderSender({
    context: createCellContext(clock, { rpc }),
    state,
    lease,
    freshness,
    onCallFinished: () => {},
  });
  const startJob = (id: string, storedVms = ['vm-1']): OccurrenceRecord => {
    const job = addJob(state, { id, steps: [createStep()], storedVms });
    placeTasks(state, clock.now());
    sender.sendDueOrders(clock.now());
    return job.occurrences.get(0) as OccurrenceRecord;
  };
  return { clock, rpc, state, sender, startJob, lease, freshness };
}

test('batches the orders that arise during a call into the next call', async () => {
  const { clock, rpc, sender, startJob } = createSender();
  startJob('00000000000000aa');
  startJob('00000000000000bb');
  startJob('00000000000000cc');
  assert.equal(rpc.calls.length, 1);
  const [{ taskId, run, attempt } = { taskId: '', run: 0, attempt: 0 }] =
    rpc.calls[0]?.starts ?? [];
  await rpc.respondToNext({ answers: [{ taskId, run, attempt, refusal: null }] });
  sender.sendDueOrders(clock.now());
  assert.equal(rpc.calls.length, 2);
  assert.equal(rpc.calls[1]?.starts.length, 2);
});

test('sends no start order before the VM of the run is stored', () => {
  const { clock, rpc, state, sender, startJob } = createSender();
  const occurrence = startJob('00000000000000aa', []);
  assert.equal(rpc.calls.length, 0);
  assert.ok(state.dirty.has(occurrence));
  occurrence.storedVms.add('vm-1');
  sender.sendDueOrders(clock.now());
  assert.equal(rpc.calls[0]?.starts.length, 1);
});

test('removes a run that is stopped before its start order was sent', () => {
  const { clock, rpc, state, sender, startJob } = createSender();
  const occurrence = startJob('00000000000000aa', []);
  state.finishOccurrence(occurrence, JobState.Cancelled, clock.now());
  occurrence.storedVms.add('vm-1');
  sender.sendDueOrders(clock.now());
  assert.equal(rpc.calls.length, 0);
  assert.equal(state.vms.get('vm-1')?.runs.size, 0);
});

test('resends an order after a failed call', async () => {
  const { clock, rpc, sender, startJob } = createSender();
  startJob('00000000000000aa');
  await rpc.respondToNext(new Error('no response'));
  sender.sendDueOrders(clock.now());
  assert.equal(rpc.calls.length, 1);
  clock.advance(200);
  sender.sendDueOrders(clock.now());
  const [first] = rpc.calls[0]?.starts ?? [];
  assert.equal(first?.mayHaveReachedVm, false);
  assert.equal(first?.attempt, 1);
  assert.deepEqual(rpc.calls[1]?.starts, [{ ...first, attempt: 2, mayHaveReachedVm: true }]);
});

test('sends the orders that arose during a call when it ends, without a wait for the next tick', async () => {
  const { rpc, state, startJob } = createSender();
  startJob('00000000000000aa');
  startJob('00000000000000bb');
  await rpc.respondToNext({ answers: [] });
  assert.equal(rpc.calls.length, 2);
  assert.equal(state.vms.get('vm-1')?.runs.size, 2);
});

test('sends no orders once it is stopped', async () => {
  const { rpc, sender, startJob } = createSender();
  startJob('00000000000000aa');
  startJob('00000000000000bb');
  sender.stop();
  await rpc.respondToNext({ answers: [] });
  assert.equal(rpc.calls.length, 1);
});

test('sends no orders once the lease on the cell is lost', async () => {
  const { rpc, sender, startJob, lease, clock } = createSender();
  startJob('00000000000000aa');
  startJob('00000000000000bb');
  lease.isHeld = () => false;
  await rpc.respondToNext({ answers: [] });
  sender.sendDueOrders(clock.now() + 5_000);
  assert.equal(rpc.calls.length, 1);
});

test('sends no orders of an earlier epoch once the process holds the cell again', async () => {
  const { rpc, sender, startJob, lease, clock } = createSender();
  startJob('00000000000000aa');
  startJob('00000000000000bb');
  lease.epoch = 2;
  await rpc.respondToNext({ answers: [] });
  sender.sendDueOrders(clock.now() + 5_000);
  assert.equal(rpc.calls.length, 1);
});

test('repeats no start while the cancellations are not recent, and goes on stopping runs', async () => {
  const { clock, rpc, state, sender, startJob, freshness } = createSender();
  startJob('00000000000000aa');
  const occurrence = startJob('00000000000000bb');
  await rpc.respondToNext(new Error('no response'));
  await rpc.respondToNext(new Error('no response'));
  freshness.isRecent = () => false;
  clock.advance(2_000);
  const callCount = rpc.calls.length;
  sender.sendDueOrders(clock.now());
  assert.equal(rpc.calls.length, callCount);
  state.finishOccurrence(occurrence, JobState.Cancelled, clock.now());
  sender.sendDueOrders(clock.now());
  assert.equal(rpc.calls[callCount]?.starts.length, 0);
  assert.equal(rpc.calls[callCount]?.stops.length, 1);
  await rpc.respondToNext({ answers: [] });
  freshness.isRecent = () => true;
  clock.advance(2_000);
  sender.sendDueOrders(clock.now());
  assert.equal(rpc.calls[callCount + 1]?.starts.length, 1);
});
