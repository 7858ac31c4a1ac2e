import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@figjunction/time';
import type { InstanceEntry } from '../instance-table.js';
import { DEMAND_WINDOW_MS, SlotTable } from './slot-table.js';

const CLASSES = [
  { urgency: 'urgent', rank: 0, guaranteedShare: 0.5 },
  { urgency: 'idle', rank: 1, guaranteedShare: 0.25 },
];

function instance(): InstanceEntry {
  return {
    taskId: 'instance-labels-0',
    service: 'labels',
    attempt: 1,
    targetAddress: 'http://127.0.0.1:1',
    slots: 8,
    slotsUsed: 0,
    connections: 64,
    connectionsUsed: 0,
    draining: false,
  };
}

function acquireMany(slots: SlotTable, row: InstanceEntry, urgency: string): number {
  return Array.from({ length: 100 }, () => slots.acquire(row, urgency, CLASSES)).filter(Boolean)
    .length;
}

test('slots are bounded, and one class cannot use slots guaranteed to a class with recent requests', () => {
  const clock = new ManualClock();
  const slots = new SlotTable(clock);
  const row = instance();
  assert.equal(slots.acquire(row, 'urgent', CLASSES), true);
  assert.equal(acquireMany(slots, row, 'idle'), 4);
  clock.advance(DEMAND_WINDOW_MS);
  assert.equal(acquireMany(slots, row, 'idle'), 3);
  assert.deepEqual([row.slotsUsed, row.connectionsUsed], [8, 8]);
  slots.release(row, 'idle');
  assert.equal(acquireMany(slots, row, 'urgent'), 1);
});

test('watches leave as many connections free as the instance has slots', () => {
  const slots = new SlotTable(new ManualClock());
  const row = instance();
  const taken = Array.from({ length: 100 }, () => slots.acquireWatchConnection(row)).filter(
    Boolean,
  ).length;
  assert.equal(taken, 56);
  assert.equal(acquireMany(slots, row, 'urgent'), 8);
  assert.equal(row.connectionsUsed, 64);
});
