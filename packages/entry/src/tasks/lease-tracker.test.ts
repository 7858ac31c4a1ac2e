/**
 * Lease expiry by an entry's own clock: full lease and margin, restarted by gaps between reads.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LeaseState } from '@figjunction/types';
import type { LeaseRow, VersionedRow } from '@figjunction/types';
import { LEASE_EXPIRY_MS, LeaseTracker } from './lease-tracker.js';

function lease(
  version: number,
  incarnation = 1,
  state = LeaseState.Active,
): VersionedRow<LeaseRow> {
  return {
    key: 'leases/vm-1',
    version,
    value: { writeId: 'w', agentId: 'vm-1', incarnation, state, count: version },
  };
}

interface Read {
  at: number;
  row: VersionedRow<LeaseRow>;
  durationMs?: number;
}

function track(reads: Read[]): LeaseTracker {
  const tracker = new LeaseTracker();
  for (const { at, row, durationMs = 0 } of reads) {
    tracker.takeScan([row], at, at + durationMs);
  }
  return tracker;
}

function everyTwoSeconds(from: number, to: number, row: VersionedRow<LeaseRow>): Read[] {
  const reads: Read[] = [];
  for (let at = from; at <= to; at += 2_000) {
    reads.push({ at, row });
  }
  return reads;
}

const cases: { name: string; reads: Read[]; now: number; expired: boolean }[] = [
  {
    name: 'unchanged for the full lease and margin',
    reads: everyTwoSeconds(0, 12_000, lease(1)),
    now: 12_000,
    expired: true,
  },
  {
    name: 'unchanged for the lease without the margin',
    reads: everyTwoSeconds(0, 10_000, lease(1)),
    now: 10_500,
    expired: false,
  },
  {
    name: 'renewed in between',
    reads: [...everyTwoSeconds(0, 6_000, lease(1)), ...everyTwoSeconds(8_000, 12_000, lease(2))],
    now: 12_000,
    expired: false,
  },
  {
    name: 'unchanged over a table outage, when the agent could not renew either',
    reads: [...everyTwoSeconds(0, 4_000, lease(1)), ...everyTwoSeconds(20_000, 28_000, lease(1))],
    now: 28_000,
    expired: false,
  },
  {
    name: 'a full lease after the outage',
    reads: [...everyTwoSeconds(0, 4_000, lease(1)), ...everyTwoSeconds(20_000, 32_000, lease(1))],
    now: 32_000,
    expired: true,
  },
  {
    name: 'the reader was paused after its last read',
    reads: everyTwoSeconds(0, 10_000, lease(1)),
    now: 14_000,
    expired: false,
  },
  {
    name: 'a read that took longer than the gap allows',
    reads: [
      ...everyTwoSeconds(0, 8_000, lease(1)),
      { at: 10_000, row: lease(1), durationMs: 2_500 },
    ],
    now: 12_500,
    expired: false,
  },
  {
    name: 'already fenced',
    reads: everyTwoSeconds(0, 12_000, lease(1, 1, LeaseState.Fenced)),
    now: 12_000,
    expired: false,
  },
];

for (const { name, reads, now, expired } of cases) {
  test(`lease ${expired ? 'expires' : 'does not expire'}: ${name}`, () => {
    assert.equal(track(reads).expired(now).length, expired ? 1 : 0);
  });
}

const OLD_HOLDER = { agentId: 'vm-1', incarnation: 1 };

// Guards against requeueing tasks that a restarted agent is about to adopt.
test('a holder of an older incarnation is fenced a full lease after the newer one was seen', () => {
  const reads = [
    ...everyTwoSeconds(0, 4_000, lease(1)),
    ...everyTwoSeconds(6_000, 18_000, lease(2, 2)),
  ];
  const tracker = track(reads);
  assert.equal(tracker.isFenced(OLD_HOLDER, 6_000 + LEASE_EXPIRY_MS - 1), false);
  assert.equal(tracker.isFenced(OLD_HOLDER, 6_000 + LEASE_EXPIRY_MS), true);
  assert.equal(tracker.isFenced({ agentId: 'vm-1', incarnation: 2 }, 30_000), false);
});

test('a holder whose lease row is unknown or older is never taken for fenced', () => {
  const tracker = track([{ at: 0, row: lease(1, 1, LeaseState.Fenced) }]);
  assert.equal(tracker.isFenced(OLD_HOLDER, 0), true);
  assert.equal(tracker.isFenced({ agentId: 'vm-1', incarnation: 2 }, 1e6), false);
  assert.equal(tracker.isFenced({ agentId: 'vm-2', incarnation: 1 }, 1e6), false);
});

test('an older version read late does not replace a newer one', () => {
  const tracker = track([{ at: 0, row: lease(5, 2) }]);
  tracker.takeOwnWrite(lease(4, 1), 10);
  assert.equal(tracker.get('vm-1')?.row.version, 5);
});
