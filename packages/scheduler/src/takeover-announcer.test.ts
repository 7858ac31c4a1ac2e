/**
 * Guards against a new scheduler of a large cell that is overloaded by its own calls: every runner was called
 * again every 300 ms until its report had been handled, which the calls delayed.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RpcClient } from '@figjunction/rpc';
import { CellState } from '@figjunction/scheduling';
import { ManualClock, sleep } from '@figjunction/time';
import { createCellContext } from './cell-context-fixture.js';
import { TakeoverAnnouncer } from './takeover-announcer.js';

const RUNNER_COUNT = 200;
const OBSERVATION_MS = 1_000;

class CountingRpcClient extends RpcClient {
  callCount = 0;

  openCalls = 0;

  openCallsMaximum = 0;

  constructor(private readonly fails: boolean) {
    super({ sharedToken: 'token' });
  }

  override async call<Result>(): Promise<Result> {
    this.callCount += 1;
    this.openCalls += 1;
    this.openCallsMaximum = Math.max(this.openCallsMaximum, this.openCalls);
    await sleep(2);
    this.openCalls -= 1;
    if (this.fails) {
      throw new Error('no answer');
    }
    return {} as Result;
  }
}

/** Announces a take-over to runners that never report, and deposes the scheduler after the observation. */
async function observeCalls(fails: boolean): Promise<CountingRpcClient> {
  const rpc = new CountingRpcClient(fails);
  const state = new CellState();
  const lease = { epoch: 2 };
  const context = createCellContext(new ManualClock(), { rpc });
  const announcer = new TakeoverAnnouncer({ context, state, lease });
  for (let index = 0; index < RUNNER_COUNT; index += 1) {
    state.unreportedVms.set(`vm-${index}`, Number.POSITIVE_INFINITY);
    announcer.announceTo(`vm-${index}`, `http://vm-${index}`);
  }
  await sleep(OBSERVATION_MS);
  lease.epoch = 0;
  state.unreportedVms.clear();
  return rpc;
}

test('calls each runner that answers once within a second, a few at a time', async () => {
  const rpc = await observeCalls(false);
  assert.equal(rpc.callCount, RUNNER_COUNT);
  assert.ok(rpc.openCallsMaximum <= 8);
});

test('calls a runner again that did not answer', async () => {
  const rpc = await observeCalls(true);
  assert.ok(rpc.callCount > RUNNER_COUNT);
  assert.ok(rpc.openCallsMaximum <= 8);
});
