/**
 * Guards against a runner that keeps the lease of a VM alive which answers nothing: the work of a crashed VM would
 * never start elsewhere. Also guards against giving up the work of a VM that is silent for a moment.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { placeTasks } from '@figjunction/scheduling';
import { RunEnding } from '@figjunction/types';
import { FakeResponse } from './fake-vm-host.js';
import { GRANT_MS, RunnerFixture } from './runner-fixture.js';

/** The longest interval of reports without news. */
const REPORT_INTERVAL_MS = 500;
/** The users count a task that runs nowhere for 6 s, with room for it, as lost. */
const LAPSE_MAXIMUM_MS = 6_000;

let fixture: RunnerFixture;

beforeEach(async () => {
  fixture = await RunnerFixture.startWithTasks();
});

afterEach(() => fixture.runner.stop());

/** Passes time in which the runner goes on reporting and the VM goes on being called. */
async function pass(milliseconds: number): Promise<void> {
  const { scheduler, rpc, host } = fixture;
  for (let passedMs = 0; passedMs < milliseconds; passedMs += REPORT_INTERVAL_MS) {
    const [reports, holds] = [rpc.reports.length, host.holds.length];
    fixture.advance(REPORT_INTERVAL_MS);
    await fixture.waitUntil(() => rpc.reports.length > reports && host.holds.length > holds);
    scheduler.sessions.expireLeases(scheduler.clock.now());
  }
}

test('gives up the runs of a VM that answers nothing although its runner goes on reporting', async () => {
  fixture.host.holdResponse = FakeResponse.Dropped;
  await pass(LAPSE_MAXIMUM_MS);
  assert.equal(fixture.vm.session, 0, 'the lease of the silent VM is still extended');
  assert.equal(fixture.vm.runs.size, 0);
  const { state, clock } = fixture.scheduler;
  assert.equal(placeTasks(state, clock.now()).started.length, 0, 'a start goes to the silent VM');
});

test('passes the VM no lease that outlasts the one in the tables of the scheduler', async () => {
  const { host, vm } = fixture;
  host.holdResponse = FakeResponse.Dropped;
  await pass(LAPSE_MAXIMUM_MS);
  assert.equal(vm.session, 0);
  const deadlines = [...host.holds, ...host.starts].map(({ leaseUntilVmMs }) => leaseUntilVmMs);
  const latest = Math.max(...deadlines.map((deadline) => deadline ?? 0));
  assert.ok(latest <= host.vmClockMs, `the VM may work on for ${latest - host.vmClockMs} ms`);
});

test('keeps the runs of a VM that answers again before its lease has expired', async () => {
  const { host, vm, scheduler } = fixture;
  const { session } = vm;
  host.holdResponse = FakeResponse.Dropped;
  await pass(GRANT_MS - 2 * REPORT_INTERVAL_MS);
  host.holdResponse = FakeResponse.Normal;
  await fixture.waitUntil(() => fixture.events.fieldsOf('vm-regained').length === 1);
  await pass(2 * GRANT_MS);
  assert.equal(vm.session, session);
  assert.equal(vm.runs.size, 2);
  assert.equal(placeTasks(scheduler.state, scheduler.clock.now()).started.length, 0);
});

test('tells once that a VM is silent and once that it answers again', async () => {
  const { host, events, vm, scheduler } = fixture;
  host.holdResponse = FakeResponse.Dropped;
  await pass(2 * GRANT_MS);
  // As the protocol has it, nothing runs any more after the expiry of the lease.
  [...host.running].forEach(({ taskId }) => host.end(taskId, RunEnding.Lapsed));
  host.holdResponse = FakeResponse.Normal;
  await fixture.waitUntil(() => vm.session !== 0);
  await pass(REPORT_INTERVAL_MS);
  const count = (name: string): number => events.fieldsOf(name).length;
  assert.deepEqual([count('vm-lost'), count('list-failed'), count('vm-regained')], [1, 1, 1]);
  const countBySchedulers = (name: string): number => scheduler.events.fieldsOf(name).length;
  assert.deepEqual([countBySchedulers('vm-silent'), countBySchedulers('vm-answers')], [1, 1]);
  assert.equal(countBySchedulers('vm-lapsed'), 1);
});
