/**
 * Guards against reports that all carry the whole list of runs, and against ends and answers that are lost
 * between two reports.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import { ReportContents } from './report-builder.js';
import { createVmSession } from './vm-session-fixture.js';

const EPOCH = 1;
const SESSION = 7;

async function createContents() {
  const clock = new ManualClock(1_000);
  const { host, session: vmSession } = createVmSession(clock);
  host.running.push({ taskId: 'a.0.0.0', run: 1, checkpoint: '', percent: 0, reading: 0 });
  await vmSession.lookNow();
  return { clock, host, vmSession, contents: new ReportContents(clock) };
}

test('lists all runs without a session, and then only when the last list is old', async () => {
  const { clock, vmSession, contents } = await createContents();
  const first = contents.describe(vmSession, EPOCH, 0);
  assert.equal(first.running?.length, 1);
  contents.acknowledge(first, vmSession);
  assert.equal(contents.describe(vmSession, EPOCH, SESSION).running, null);
  assert.equal(contents.describe(vmSession, EPOCH, 0).running?.length, 1);
  clock.advance(500);
  assert.equal(contents.describe(vmSession, EPOCH, SESSION).running?.length, 1);
});

test('tells ends and answers again until the scheduler has received them', async () => {
  const { host, vmSession, contents } = await createContents();
  host.end('a.0.0.0', RunEnding.Done);
  await vmSession.lookNow();
  contents.addAnswer({ taskId: 'b.0.0.0', run: 1, refusal: null });
  contents.describe(vmSession, EPOCH, SESSION);
  const repeated = contents.describe(vmSession, EPOCH, SESSION);
  assert.equal(repeated.ended.length, 1);
  assert.equal(repeated.answers.length, 1);
  contents.acknowledge(repeated, vmSession);
  const next = contents.describe(vmSession, EPOCH, SESSION);
  assert.deepEqual([next.ended, next.answers], [[], []]);
  contents.startAnew();
  assert.equal(contents.describe(vmSession, EPOCH, SESSION).ended.length, 1);
});

test('tells nothing of the VM under an epoch without a list, or while its lease has expired', async () => {
  const { clock, vmSession, contents } = await createContents();
  assert.equal(contents.describe(vmSession, EPOCH + 1, 0).running, null);
  vmSession.lease.grantUntil(10_500);
  clock.advance(2_000);
  assert.ok(vmSession.lease.hasExpired());
  assert.equal(contents.describe(vmSession, EPOCH, 0).running, null);
});
