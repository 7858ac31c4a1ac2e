import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@figjunction/time';
import { OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { TurnEnd } from './attempt-runner.js';
import { notRun } from './interactive-request.js';
import type { InteractiveRequest } from './interactive-request.js';
import { ServiceQueue } from './service-queue.js';

const SLOTS = 4;
const USUAL_MS = 20;
const DONE = { ...notRun(OutcomeCode.Ok, ''), outcome: RequestOutcome.Completed } as TurnEnd;
const NO_SLOT: TurnEnd = notRun(OutcomeCode.NoSlot, 'no slot');

const CLASSES = [
  { urgency: 'urgent', rank: 0, guaranteedShare: 0.5 },
  { urgency: 'idle', rank: 1, guaranteedShare: 0.25 },
];

/** A queue whose jobs end when the test says so. */
function createRig(fair = true) {
  const clock = new ManualClock();
  const queue = new ServiceQueue({
    clock,
    fair,
    maximum: () => 16,
    classes: () => CLASSES,
    usualMs: () => USUAL_MS,
    entries: () => 1,
  });
  const started: { urgency: string; end: (value: TurnEnd) => void }[] = [];
  const add = (urgency: string, changes: Partial<InteractiveRequest> = {}): Promise<TurnEnd> => {
    const request = {
      urgency,
      team: { name: 'kitchen', weight: 1 },
      deadline: 60_000,
      callerGone: new AbortController().signal,
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

type Rig = ReturnType<typeof createRig>;

function addMany(rig: Rig, urgency: string, count: number): Promise<TurnEnd>[] {
  return Array.from({ length: count }, () => rig.add(urgency));
}

async function endNext(rig: Rig, value: TurnEnd = DONE): Promise<void> {
  rig.started.shift()?.end(value);
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

test('no more requests run than there are slots', async () => {
  const rig = createRig();
  addMany(rig, 'urgent', 10);
  assert.equal(rig.queue.running, SLOTS);
  await endNext(rig);
  assert.equal(rig.queue.running, SLOTS);
  assert.equal(rig.queue.length, 5);
});

// Guards against one shared limit: refusals of a flood once slowed every class.
test('refusals of one class lower its limit and leave the other class alone', async () => {
  const rig = createRig();
  addMany(rig, 'idle', 12);
  for (let count = 0; count < 20; count += 1) {
    rig.clock.advance(100);
    await endNext(rig, NO_SLOT);
  }
  rig.started.splice(0);
  const before = rig.queue.running;
  addMany(rig, 'urgent', SLOTS);
  assert.ok(before < SLOTS);
  assert.equal(rig.started.filter(({ urgency }) => urgency === 'urgent').length, SLOTS - before);
});

test('a full queue of a class refuses as queue-full', async () => {
  const rig = createRig();
  const ends = addMany(rig, 'idle', 40);
  const refused = await Promise.race(ends);
  assert.equal(refused.code, OutcomeCode.QueueFull);
  assert.equal(refused.outcome, RequestOutcome.NotRun);
});

test('a request that would wait past its deadline is refused at once', async () => {
  const rig = createRig();
  addMany(rig, 'urgent', SLOTS + 8);
  const refused = await rig.add('urgent', { deadline: USUAL_MS * 2 });
  assert.equal(refused.code, OutcomeCode.DeadlineTooShort);
});

test('a request whose caller goes away leaves the queue', async () => {
  const rig = createRig();
  addMany(rig, 'urgent', SLOTS);
  const caller = new AbortController();
  const waiting = rig.add('urgent', { callerGone: caller.signal });
  assert.equal(rig.queue.length, 1);
  caller.abort();
  assert.equal((await waiting).outcome, RequestOutcome.NotRun);
  assert.equal(rig.queue.length, 0);
});

test('without fairness requests run in the order of their arrival', async () => {
  const rig = createRig(false);
  addMany(rig, 'idle', SLOTS + 3);
  addMany(rig, 'urgent', 1);
  for (let count = 0; count < 3; count += 1) {
    await endNext(rig);
  }
  assert.ok(rig.started.every(({ urgency }) => urgency === 'idle'));
  await endNext(rig);
  assert.ok(rig.started.some(({ urgency }) => urgency === 'urgent'));
});
