import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TaskState } from '@figjunction/types';
import { countByKind, peakLoad } from './recovery-timeline.js';

function sample(atMs: number, transactions: number) {
  const rowsWritten = transactions * 10;
  return { atMs, transactions, rowsWritten, throttled: 0, byKind: new Map() };
}

// Guards against a peak that is averaged away over a longer span, or taken over less than a second.
test('the peak is the highest rate over about one second', () => {
  const samples = [
    sample(0, 0),
    sample(500, 0),
    sample(1_000, 5),
    sample(1_500, 20),
    sample(3_000, 20),
  ];
  assert.deepEqual(peakLoad(samples, 0, 3_000), { transactionsPerSecond: 20, rowsPerSecond: 200 });
});

test('a task counts as lost only while its row names a lost VM', () => {
  const holder = { agentId: 'vm-1', incarnation: 1 };
  const counts = countByKind(
    [
      { kind: 'k', state: TaskState.Running, holder },
      { kind: 'k', state: TaskState.Running, holder: { ...holder, agentId: 'vm-2' } },
      { kind: 'k', state: TaskState.Pending, holder: null },
    ],
    new Set(['vm-1']),
  );
  assert.deepEqual(counts.get('k'), { lost: 1, pending: 1, running: 1 });
});
