/**
 * Guards against a run that counts as vanished although it has ended: the VM lists 500 ends at a time, so while
 * more than these wait for their acknowledgement, a run that has ended is in neither list.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import type { EndedRun } from '@figjunction/types';
import { FakeVmHost } from './fake-vm-host.js';
import { LeaseExpiryDetector } from './lease-expiry-detector.js';
import type { EndValidity } from './lease-expiry-detector.js';
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

function createDoneEnds(first: number, count: number): EndedRun[] {
  return Array.from({ length: count }, (_, index) => {
    const sequence = first + index;
    return {
      sequence,
      taskId: `a.0.0.${sequence}`,
      run: 1,
      ending: RunEnding.Done,
      checkpoint: '',
    };
  });
}

test('discards the ends of all lists that precede an expiry of an earlier process, and none after it', () => {
  const clock = new ManualClock(1_000);
  const detector = new LeaseExpiryDetector(clock, 900);
  const validate = (ended: EndedRun[]): EndValidity =>
    detector.validateEnds({ vmClockMs: 1, bornWallMs: 1, running: [], ended });
  const discarded = [0, 1, 2].map((list) => {
    const count = list < 2 ? LISTED_ENDS_MAXIMUM : 3;
    return validate(createDoneEnds(list * LISTED_ENDS_MAXIMUM + 1, count)).invalidThrough;
  });
  assert.deepEqual(discarded, [500, 1_000, 1_003]);
  assert.equal(validate(createDoneEnds(1_004, 2)).invalidThrough, 0);
});

test('takes an expiry for settled only with a list that contains all ends from before it', async () => {
  const { session } = await createSessionWithManyEnds();
  session.lease.isExpired = true;
  await session.refresh();
  assert.ok(session.lease.isExpired);
  assert.equal(session.settledThrough, LISTED_ENDS_MAXIMUM);
  await session.refresh();
  assert.equal(session.lease.isExpired, false);
  assert.deepEqual(session.runs.unacknowledged, []);
});
