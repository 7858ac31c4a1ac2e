/**
 * Guards against answers from a copy of the configuration that the store has not confirmed for a while, and against
 * requests that wait for a store that is known to be unavailable.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ConfigurationGate, RequestKind } from './configuration-gate.js';

const ANSWERED_UNCONFIRMED = [RequestKind.ReadJob, RequestKind.CancelJob];

interface Scene {
  isRecent: boolean;
  becomesRecent?: boolean;
  isUnavailable?: boolean;
}

function createGate({ isRecent, becomesRecent = false, isUnavailable = false }: Scene) {
  let waits = 0;
  const gate = new ConfigurationGate({
    follower: {
      isRecent,
      waitUntilRecent: () => {
        waits += 1;
        return Promise.resolve(becomesRecent);
      },
    },
    storeHealth: { isUnavailable: () => isUnavailable },
  });
  return { gate, countWaits: () => waits };
}

async function ask(scene: Scene): Promise<{ isRecent: boolean; waits: number }> {
  const { gate, countWaits } = createGate(scene);
  return { isRecent: await gate.confirm(), waits: countWaits() };
}

test('confirms a recent copy at once, also while the store is unavailable', async () => {
  const confirmed = { isRecent: true, waits: 0 };
  assert.deepEqual(await ask({ isRecent: true }), confirmed);
  assert.deepEqual(await ask({ isRecent: true, isUnavailable: true }), confirmed);
});

test('confirms a copy that the store confirms while the request waits', async () => {
  assert.deepEqual(await ask({ isRecent: false, becomesRecent: true }), {
    isRecent: true,
    waits: 1,
  });
});

test('confirms no copy that the store does not confirm', async () => {
  assert.deepEqual(await ask({ isRecent: false }), { isRecent: false, waits: 1 });
});

test('makes no request wait for a store that is unavailable', async () => {
  assert.deepEqual(await ask({ isRecent: false, becomesRecent: true, isUnavailable: true }), {
    isRecent: false,
    waits: 0,
  });
});

test('says nothing of a queue from a copy that is not recent', () => {
  const { gate } = createGate({ isRecent: false });
  const answered = Object.values(RequestKind).filter((kind) => gate.mayAnswerUnconfirmed(kind));
  assert.deepEqual(answered, ANSWERED_UNCONFIRMED);
});
