/**
 * Guards against a run that counts as vanished although it has ended: the VM lists 500 ends at a time, so while
 * more than these wait for their acknowledgement, a run that has ended is in neither list.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import { FakeVmHost } from './fake-vm-host.js';
import { ReportBuilder } from './report-builder.js';
import { createVmSession } from './vm-session-fixture.js';
import type { HoldRefusal, HoldRequest, HoldResult } from './vm-host.js';

const LISTED_ENDS_MAXIMUM = 500;

class TruncatingVmHost extends FakeVmHost {
  override async hold(request: HoldRequest): Promise<HoldResult | HoldRefusal> {
    const result = await super.hold(request);
    return typeof result === 'string'
      ? result
      : { ...result, ended: result.ended.slice(0, LISTED_ENDS_MAXIMUM) };
  }
}

/** A session with a VM on which one more run has ended than the VM lists at a time. */
async function createSessionWithManyEnds() {
  const clock = new ManualClock(1_000);
  const host = new TruncatingVmHost();
  const { session } = createVmSession(clock, { host });
  const target = { epoch: 1, session: 1, offeredSession: 0 };
  const builder = new ReportBuilder(clock);
  const buildReport = () => builder.build(session, target);
  for (let index = 0; index <= LISTED_ENDS_MAXIMUM; index += 1) {
    host.running.push({ taskId: `a.0.0.${index}`, run: 1, checkpoint: '', percent: 0, reading: 0 });
  }
  await session.refresh();
  clock.advance(100);
  host.vmClockMs += 100;
  for (let index = 0; index <= LISTED_ENDS_MAXIMUM; index += 1) {
    host.end(`a.0.0.${index}`, RunEnding.Done);
  }
  await session.refresh();
  const pass = (milliseconds: number): void => {
    clock.advance(milliseconds);
    host.vmClockMs += milliseconds;
  };
  return { session, pass, buildReport };
}

test('reports no run as vanished whose end is not among the ends that the VM lists at a time', async () => {
  const { session } = await createSessionWithManyEnds();
  assert.deepEqual(session.vanished, []);
});

test('rules no run out while its end may be among those that the VM has not listed', async () => {
  const { session, pass } = await createSessionWithManyEnds();
  const [ended, unknown] = [`a.0.0.${LISTED_ENDS_MAXIMUM}`, 'b.0.0.0'];
  assert.ok(session.runs.isListed({ taskId: ended, run: 1 }));
  assert.ok(session.runs.isListed({ taskId: unknown, run: 1 }));
  session.acknowledgeEnds(LISTED_ENDS_MAXIMUM);
  pass(100);
  await session.refresh();
  assert.deepEqual(
    session.runs.unacknowledged.map(({ taskId }) => taskId),
    [ended],
  );
  assert.equal(session.runs.isListed({ taskId: unknown, run: 1 }), false);
  assert.deepEqual(session.vanished, []);
});

test('reports that the VM may hold further ends until a list contains all', async () => {
  const { session, pass, buildReport } = await createSessionWithManyEnds();
  assert.equal(buildReport().ended.length, LISTED_ENDS_MAXIMUM);
  assert.ok(buildReport().hasUnlistedEnds);
  session.acknowledgeEnds(LISTED_ENDS_MAXIMUM);
  pass(100);
  await session.refresh();
  assert.equal(buildReport().ended.length, 1);
  assert.equal(buildReport().hasUnlistedEnds, false);
});

test('reports the ends of all lists of a VM whose lease has expired', async () => {
  const { session, pass, buildReport } = await createSessionWithManyEnds();
  session.lease.grantUntil(1);
  assert.ok(session.lease.isExpired);
  assert.equal(buildReport().ended.length, LISTED_ENDS_MAXIMUM);
  session.acknowledgeEnds(LISTED_ENDS_MAXIMUM);
  pass(100);
  await session.refresh();
  assert.equal(buildReport().ended.length, 1);
  assert.deepEqual(session.vanished, []);
});
