/**
 * Guards against an operator who applies an old file again and reads that it is in force, although another
 * revision has replaced it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { formatRollout } from './rollout.js';
import type { Rollout } from './rollout.js';

function rolloutOf(revisions: number[]): Rollout {
  const confirmed = revisions.map((revision, index) => ({
    name: `vm-${index + 1}`,
    revision,
    reason: null,
  }));
  return {
    revision: 2,
    newestRevision: Math.max(...revisions),
    confirmed,
    missing: [],
    absent: [],
  };
}

test('a revision that every process has is in force', () => {
  assert.match(formatRollout(rolloutOf([2, 2])), /^in force on all 2 known processes/u);
});

test('a revision that was replaced is not called in force', () => {
  assert.equal(
    formatRollout(rolloutOf([2, 3])),
    'revision 3 has replaced it since; see "figjunction history"',
  );
});
