import assert from 'node:assert/strict';
import { test } from 'node:test';
import { calculateQuotaShare } from './quota.js';
import { canTakeSlot } from './slot-admission.js';
import type { ClassSlots } from './slot-admission.js';
import { TokenBucket } from './token-bucket.js';

function row(urgency: string, guaranteedShare: number, used: number, hasDemand = true): ClassSlots {
  return { urgency, guaranteedShare, used, hasDemand };
}

// Checks that a flood of one class does not take the slots guaranteed to another.
const CASES = [
  {
    name: 'the last slot of a class below its guarantee',
    own: 3,
    other: 4,
    demand: true,
    isAdmitted: true,
  },
  {
    name: 'a slot that is reserved for a class with demand',
    own: 4,
    other: 2,
    demand: true,
    isAdmitted: false,
  },
  {
    name: 'an unused guarantee of a class without demand',
    own: 6,
    other: 0,
    demand: false,
    isAdmitted: true,
  },
  { name: 'a slot when all are in use', own: 4, other: 4, demand: true, isAdmitted: false },
];

for (const { name, own, other, demand, isAdmitted } of CASES) {
  test(`${isAdmitted ? 'admits to' : 'refuses'} ${name}`, () => {
    const classes = [row('own', 0.5, own), row('other', 0.5, other, demand)];
    assert.equal(canTakeSlot('own', 8, classes), isAdmitted);
  });
}

test('fractional guarantees never leave a free slot that no class may take', () => {
  const shares = [0.6, 0.3, 0.1];
  for (let first = 0; first <= 8; first += 1) {
    for (let second = 0; first + second <= 7; second += 1) {
      for (let third = 0; first + second + third <= 7; third += 1) {
        const rows = [first, second, third].map((used, index) =>
          row(`c${index}`, shares[index] ?? 0, used),
        );
        assert.ok(rows.some(({ urgency }) => canTakeSlot(urgency, 8, rows)));
      }
    }
  }
});

test('the shares of a quota sum to 1 and grow with demand', () => {
  const demands = [90, 10, 0];
  const shares = demands.map((own, index) =>
    calculateQuotaShare({
      ownPerSecond: own,
      peersPerSecond: demands.filter((_demand, other) => other !== index),
    }),
  );
  assert.ok(Math.abs(shares.reduce((sum, share) => sum + share, 0) - 1) < 1e-9);
  assert.ok((shares[0] ?? 0) > 0.7 && (shares[2] ?? 0) > 0.05);
});

test('a token bucket admits its burst, then its rate', () => {
  const bucket = new TokenBucket();
  const admitted = (now: number): number =>
    Array.from({ length: 50 }, () => bucket.take(now, 10, 5)).filter(Boolean).length;
  assert.deepEqual([admitted(0), admitted(200), admitted(10_000)], [5, 2, 5]);
});
