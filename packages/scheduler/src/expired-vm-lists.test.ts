/**
 * Guards against a scheduler that starts tasks again whose ends it could have asked for, and against calls without end
 * to runners that do not answer.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RpcClient } from '@figjunction/rpc';
import { placeTasks } from '@figjunction/scheduling';
import { createAnnouncement } from '@figjunction/scheduling/cell-fixture';
import { sleep } from '@figjunction/time';
import { RpcMethod, RunEnding } from '@figjunction/types';
import type { RunnerListResult } from '@figjunction/types';
import { FIXTURE_EPOCH, FIXTURE_JOB, createRunnerSessions } from './runner-sessions-fixture.js';

const LEASE_EXPIRES_AT = 10_000;
const OBSERVATION_MS = 2_000;
const NO_LIST: RunnerListResult = { vm: null, running: [], ended: [], hasUnlistedEnds: true };

/** Answers with the given lists in turn; no answer for null and after the last one. */
class ListingRpcClient extends RpcClient {
  readonly calls: [RpcMethod, unknown][] = [];

  constructor(private readonly lists: (RunnerListResult | null)[]) {
    super({ sharedToken: 'token' });
  }

  override call<Result>(_address: string, method: RpcMethod, parameters: unknown): Promise<Result> {
    this.calls.push([method, parameters]);
    const list = this.lists.shift() ?? null;
    return list === null ? Promise.reject(new Error('no answer')) : Promise.resolve(list as Result);
  }
}

function createList(taskIndexes: number[]): RunnerListResult {
  const ended = taskIndexes.map((index) => ({
    sequence: index + 1,
    taskId: `${FIXTURE_JOB}.0.0.${index}`,
    run: 1,
    ending: RunEnding.Done,
    checkpoint: '',
  }));
  return { vm: createAnnouncement(), running: [], ended, hasUnlistedEnds: false };
}

/** Lets the lease of the VM expire that has not reported to this scheduler. */
function expire(lists: (RunnerListResult | null)[]) {
  const rpc = new ListingRpcClient(lists);
  const { clock, state, sessions, events } = createRunnerSessions({ rpc });
  clock.advance(LEASE_EXPIRES_AT);
  sessions.expireLeases(clock.now());
  return { rpc, clock, state, sessions, events };
}

test('asks for the list of a VM whose lease has expired, and starts no task again that is done there', async () => {
  const { rpc, clock, state, events } = expire([createList([0, 1])]);
  await sleep(20);
  assert.deepEqual(rpc.calls, [[RpcMethod.RunnerList, { epoch: FIXTURE_EPOCH }]]);
  assert.equal(state.jobs.get(FIXTURE_JOB)?.occurrences.get(0)?.steps[0]?.doneCount, 2);
  assert.equal(placeTasks(state, clock.now()).started.length, 0);
  const fields = { vm: 'vm-1', running: 0, ended: 2, hasUnlistedEnds: false };
  assert.deepEqual(events.fieldsOf('list-applied'), [fields]);
  assert.equal(events.fieldsOf('run-ended').length, 2);
});

test('asks again after a call without a list, and not once it has one', async () => {
  const { rpc, state } = expire([null, NO_LIST, createList([0])]);
  await sleep(OBSERVATION_MS);
  assert.equal(rpc.calls.length, 3);
  assert.equal(state.jobs.get(FIXTURE_JOB)?.occurrences.get(0)?.steps[0]?.doneCount, 1);
  assert.equal(state.unreportedVms.size, 0);
});

test('asks no more when the wait for the list is over, or it has asked often', async () => {
  const { rpc, clock, sessions } = expire([]);
  await sleep(100);
  clock.advance(OBSERVATION_MS);
  sessions.expireLeases(clock.now());
  await sleep(OBSERVATION_MS);
  assert.equal(rpc.calls.length, 1);
  const endless = expire([]);
  await sleep(OBSERVATION_MS);
  assert.equal(endless.rpc.calls.length, 8);
});
