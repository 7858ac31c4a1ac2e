/**
 * Guards against ends that are thrown away because the lease of their VM has expired since: their tasks run again
 * although they are done.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { RunEnding } from '@figjunction/types';
import { GRANT_MS, RunnerFixture } from './runner-fixture.js';
import { createManualSession, runTask } from './vm-session-fixture.js';

const DONE_TASK = '00000000000000aa.0.0.0';
const LAPSED_TASK = '00000000000000aa.0.0.1';

let fixture: RunnerFixture;

beforeEach(async () => {
  fixture = await RunnerFixture.startWithTasks();
});

afterEach(() => fixture.runner.stop());

/** Passes time in which the VM answers its runner, and the scheduler gets no report. */
async function passCutOff(milliseconds: number): Promise<void> {
  const { host, rpc } = fixture;
  rpc.isCutOff = true;
  for (let passedMs = 0; passedMs < milliseconds; passedMs += 500) {
    const { length } = host.holds;
    fixture.advance(500);
    await fixture.waitUntil(() => host.holds.length > length + 1);
  }
}

function isDone(taskId: string): boolean {
  return fixture.scheduler.state.findTask(taskId)?.done === true;
}

test('counts an end that the VM listed before its lease expired, when reports get through again', async () => {
  const { host, rpc, vm, scheduler } = fixture;
  rpc.isCutOff = true;
  host.end(DONE_TASK, RunEnding.Done);
  await passCutOff(GRANT_MS + 1_000);
  host.end(LAPSED_TASK, RunEnding.Lapsed);
  scheduler.sessions.expireLeases(scheduler.clock.now());
  assert.equal(vm.session, 0);
  rpc.isCutOff = false;
  await fixture.waitUntil(() => vm.session !== 0);
  assert.ok(isDone(DONE_TASK), 'the task would start again');
  assert.equal(isDone(LAPSED_TASK), false);
});

test('counts an end that the runner lists when it is asked, while its reports do not get through', async () => {
  const { host, rpc, vm, scheduler, schedulerRpc } = fixture;
  rpc.isCutOff = true;
  host.end(DONE_TASK, RunEnding.Done);
  await passCutOff(GRANT_MS + 1_000);
  host.end(LAPSED_TASK, RunEnding.Lapsed);
  schedulerRpc.isConnected = true;
  scheduler.sessions.expireLeases(scheduler.clock.now());
  await fixture.waitUntil(() => vm.runs.size === 0);
  assert.equal(vm.session, 0);
  assert.ok(isDone(DONE_TASK), 'the task would start again');
  assert.equal(isDone(LAPSED_TASK), false);
});

test('counts an end before an expiry of the lease that only the runner notices', async () => {
  const { host, rpc, vm, scheduler } = fixture;
  rpc.isCutOff = true;
  host.end(DONE_TASK, RunEnding.Done);
  await passCutOff(GRANT_MS);
  fixture.advance(150);
  host.end(LAPSED_TASK, RunEnding.Lapsed);
  rpc.isCutOff = false;
  await fixture.waitUntil(() => !vm.runs.has(`${LAPSED_TASK}#1`));
  assert.ok(isDone(DONE_TASK), 'the task would start again');
  const { waiting } = scheduler.state.findTask(LAPSED_TASK)?.step ?? {};
  assert.deepEqual(
    [...(waiting ?? [])].map(({ id }) => id),
    [LAPSED_TASK],
  );
});

test('reports the ends of an idle VM at once after a restart of the runner', async () => {
  const { host, session } = createManualSession();
  runTask(host, DONE_TASK);
  host.end(DONE_TASK, RunEnding.Done);
  assert.ok(await session.refresh());
  assert.equal(session.listedEpoch, 1);
  assert.deepEqual(
    session.runs.unacknowledged.map(({ taskId }) => taskId),
    [DONE_TASK],
  );
});
