import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OVERLOAD_DETECTION_MS } from '@figjunction/decisions';
import { ManualClock, sleep } from '@figjunction/time';
import { OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { DispatchResult } from './attempt-runner.js';
import { createNotRunResult } from './interactive-request.js';
import type { InteractiveRequest } from './interactive-request.js';
import { ServiceQueue } from './service-queue.js';

const SLOTS = 4;
const MEDIAN_LATENCY_MS = 20;
const DONE = {
  ...createNotRunResult(OutcomeCode.Ok, ''),
  outcome: RequestOutcome.Completed,
} as DispatchResult;
const NO_SLOT: DispatchResult = createNotRunResult(OutcomeCode.NoSlot, 'no slot');

const CLASSES = [
  { urgency: 'urgent', rank: 0, guaranteedShare: 0.5 },
  { urgency: 'idle', rank: 1, guaranteedShare: 0.25 },
];

/** A queue whose requests complete when the test calls `end`. */
function createFixture(isFair = true) {
  const clock = new ManualClock();
  const queue = new ServiceQueue({
    clock,
    isFair,
    maximum: () => 16,
    classes: () => CLASSES,
    medianLatencyMs: () => MEDIAN_LATENCY_MS,
    getRetryDelayMs: () => 0,
    countEntries: () => 1,
  });
  const started: { urgency: string; end: (value: DispatchResult) => void }[] = [];
  const add = (
    urgency: string,
    changes: Partial<InteractiveRequest> = {},
  ): Promise<DispatchResult> => {
    const request = {
      urgency,
      team: { name: 'kitchen', weight: 1 },
      arrivedAt: clock.now(),
      deadline: 60_000,
      disconnectSignal: new AbortController().signal,
      ...changes,
    } as InteractiveRequest;
    return queue.run(
      request,
      false,
      SLOTS,
      () =>
        new Promise((resolve) => {
          started.push({ urgency, end: resolve });
        }),
    );
  };
  return { clock, queue, started, add };
}

type Fixture = ReturnType<typeof createFixture>;

function addMany(fixture: Fixture, urgency: string, count: number): Promise<DispatchResult>[] {
  return Array.from({ length: count }, () => fixture.add(urgency));
}

async function endNext(fixture: Fixture, value: DispatchResult = DONE): Promise<void> {
  fixture.started.shift()?.end(value);
  await sleep(2);
}

test('no more requests run than there are slots', async () => {
  const fixture = createFixture();
  addMany(fixture, 'urgent', 10);
  assert.equal(fixture.queue.running, SLOTS);
  await endNext(fixture);
  assert.equal(fixture.queue.running, SLOTS);
  assert.equal(fixture.queue.length, 5);
});

// Guards against one limit for all classes, with which refusals of one flooding class slowed every class.
test('refusals of one class lower only the limit of that class', async () => {
  const fixture = createFixture();
  addMany(fixture, 'idle', 12);
  for (let count = 0; count < 20; count += 1) {
    fixture.clock.advance(100);
    await endNext(fixture, NO_SLOT);
  }
  fixture.started.splice(0);
  const before = fixture.queue.running;
  addMany(fixture, 'urgent', SLOTS);
  assert.ok(before < SLOTS);
  assert.equal(
    fixture.started.filter(({ urgency }) => urgency === 'urgent').length,
    SLOTS - before,
  );
});

test('a request to a full class queue is refused as queue-full', async () => {
  const fixture = createFixture();
  const ends = addMany(fixture, 'idle', 40);
  const rejected = await Promise.race(ends);
  assert.equal(rejected.code, OutcomeCode.QueueFull);
  assert.equal(rejected.outcome, RequestOutcome.NotRun);
});

test('a request that would wait past its deadline is refused at once', async () => {
  const fixture = createFixture();
  addMany(fixture, 'urgent', SLOTS + 8);
  const rejected = await fixture.add('urgent', { deadline: MEDIAN_LATENCY_MS * 2 });
  assert.equal(rejected.code, OutcomeCode.DeadlineTooShort);
});

test('a request whose caller disconnects is removed from the queue', async () => {
  const fixture = createFixture();
  addMany(fixture, 'urgent', SLOTS);
  const caller = new AbortController();
  const waiting = fixture.add('urgent', { disconnectSignal: caller.signal });
  assert.equal(fixture.queue.length, 1);
  caller.abort();
  assert.equal((await waiting).outcome, RequestOutcome.NotRun);
  assert.equal(fixture.queue.length, 0);
});

test('without fairness requests run in order of arrival', async () => {
  const fixture = createFixture(false);
  addMany(fixture, 'idle', SLOTS + 3);
  addMany(fixture, 'urgent', 1);
  for (let count = 0; count < 3; count += 1) {
    await endNext(fixture);
  }
  assert.ok(fixture.started.every(({ urgency }) => urgency === 'idle'));
  await endNext(fixture);
  assert.ok(fixture.started.some(({ urgency }) => urgency === 'urgent'));
});

// Guards against a standing queue, in which a flood of requests waited 1.5 s for a service of 40 ms.
test('a burst is queued, but the queue stays short under sustained overload', async () => {
  const fixture = createFixture();
  addMany(fixture, 'urgent', SLOTS + 6);
  assert.equal(fixture.queue.length, 6);
  fixture.clock.advance(OVERLOAD_DETECTION_MS + 1);
  assert.equal((await fixture.add('urgent')).code, OutcomeCode.QueueFull);
  await endNext(fixture);
  await endNext(fixture);
  // Old requests are refused while more wait than keep the slots busy (three for four slots).
  assert.equal(fixture.queue.running, SLOTS);
  assert.equal(fixture.queue.length, 2);
});
