/**
 * Guards against sending the full list of runs with every report, against losing ends and start results when a
 * report is lost, and against reports whose order and age the scheduler's log cannot tell.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import { ReportBuilder } from './report-builder.js';
import type { ReportTarget } from './report-builder.js';
import { createVmSession } from './vm-session-fixture.js';

const EPOCH = 1;
const SESSION = 7;

/** Without a session, the report opens the one that was offered. */
function createTarget(epoch: number, session: number): ReportTarget {
  return { epoch, session, offeredSession: session === 0 ? SESSION : 0 };
}

async function createBuilder() {
  const clock = new ManualClock(1_000);
  const { host, session: vmSession } = createVmSession(clock);
  host.running.push({ taskId: 'a.0.0.0', run: 1, checkpoint: '', percent: 0, reading: 0 });
  await vmSession.refresh();
  return { clock, host, vmSession, builder: new ReportBuilder(clock) };
}

test('lists all runs without a session, and within a session only after the list interval', async () => {
  const { clock, vmSession, builder } = await createBuilder();
  const first = builder.build(vmSession, createTarget(EPOCH, 0));
  assert.equal(first.running?.length, 1);
  builder.acknowledge(first, vmSession, 500);
  assert.equal(builder.build(vmSession, createTarget(EPOCH, SESSION)).running, null);
  assert.equal(builder.build(vmSession, createTarget(EPOCH, 0)).running?.length, 1);
  clock.advance(500);
  assert.equal(builder.build(vmSession, createTarget(EPOCH, SESSION)).running?.length, 1);
});

test('repeats ends and start results until the scheduler has received them', async () => {
  const { host, vmSession, builder } = await createBuilder();
  host.end('a.0.0.0', RunEnding.Done);
  await vmSession.refresh();
  builder.addStartResult({ taskId: 'b.0.0.0', run: 1, attempt: 1, refusal: null });
  builder.build(vmSession, createTarget(EPOCH, SESSION));
  const repeated = builder.build(vmSession, createTarget(EPOCH, SESSION));
  assert.equal(repeated.ended.length, 1);
  assert.equal(repeated.answers.length, 1);
  builder.acknowledge(repeated, vmSession, 500);
  const next = builder.build(vmSession, createTarget(EPOCH, SESSION));
  assert.deepEqual([next.ended, next.answers], [[], []]);
  builder.resendEnds();
  assert.equal(builder.build(vmSession, createTarget(EPOCH, SESSION)).ended.length, 1);
});

test('repeats the runs of a crash in each report that opens a session until one is accepted', async () => {
  const { vmSession, builder } = await createBuilder();
  const crashed = { taskId: 'b.0.0.0', run: 2, percent: 30 };
  builder.addCrashedRuns([crashed]);
  assert.deepEqual(builder.build(vmSession, createTarget(EPOCH, 0)).crashed, [crashed]);
  const repeated = builder.build(vmSession, createTarget(EPOCH, 0));
  assert.deepEqual(repeated.crashed, [crashed]);
  builder.acknowledge(repeated, vmSession, 500);
  assert.deepEqual(builder.build(vmSession, createTarget(EPOCH, 0)).crashed, []);
});

test('keeps a start result that arrives while a report is on its way', async () => {
  const { vmSession, builder } = await createBuilder();
  const report = builder.build(vmSession, createTarget(EPOCH, SESSION));
  const result = { taskId: 'b.0.0.0', run: 1, attempt: 1, refusal: null };
  builder.addStartResult(result);
  builder.acknowledge(report, vmSession, 500);
  assert.deepEqual(builder.build(vmSession, createTarget(EPOCH, SESSION)).answers, [result]);
});

test('reports no runs for an epoch without a list', async () => {
  const { vmSession, builder } = await createBuilder();
  assert.equal(builder.build(vmSession, createTarget(EPOCH + 1, 0)).running, null);
});

test('reports the ends of a VM whose lease has expired', async () => {
  const { clock, host, vmSession, builder } = await createBuilder();
  vmSession.lease.grantUntil(10_500);
  clock.advance(2_000);
  host.vmClockMs += 2_000;
  host.end('a.0.0.0', RunEnding.Done);
  await vmSession.refresh();
  assert.ok(vmSession.lease.isExpired);
  const { running, ended } = builder.build(vmSession, createTarget(EPOCH, 0));
  assert.deepEqual([running, ended.length], [[], 1]);
});

test('sends no list within a session while the VM does not respond', async () => {
  const { clock, vmSession, builder } = await createBuilder();
  clock.advance(2_500);
  assert.equal(builder.build(vmSession, createTarget(EPOCH, SESSION)).running, null);
  await vmSession.refresh();
  assert.equal(builder.build(vmSession, createTarget(EPOCH, SESSION)).running?.length, 1);
});

test('numbers all reports of the process, also those that are never received', async () => {
  const { vmSession, builder } = await createBuilder();
  const withoutVm = builder.build(null, createTarget(EPOCH, 0));
  const unreceived = builder.build(vmSession, createTarget(EPOCH, SESSION));
  const repeated = builder.build(vmSession, createTarget(EPOCH, SESSION));
  builder.acknowledge(repeated, vmSession, 500);
  builder.resendEnds();
  const next = builder.build(vmSession, createTarget(EPOCH + 1, 0));
  const numbers = [withoutVm, unreceived, repeated, next].map(({ sequence }) => sequence);
  assert.deepEqual(numbers, [1, 2, 3, 4]);
});

test('tells the time since the last applied list was requested', async () => {
  const clock = new ManualClock(1_000);
  const { session: vmSession } = createVmSession(clock);
  const builder = new ReportBuilder(clock);
  assert.equal(builder.build(null, createTarget(EPOCH, 0)).listAgeMs, null);
  assert.equal(builder.build(vmSession, createTarget(EPOCH, 0)).listAgeMs, null);
  await vmSession.refresh();
  clock.advance(700);
  assert.equal(builder.build(vmSession, createTarget(EPOCH, 0)).listAgeMs, 700);
  await vmSession.refresh();
  assert.equal(builder.build(vmSession, createTarget(EPOCH, 0)).listAgeMs, 0);
});
