import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@figjunction/time';
import type { InstanceEntry } from '../instance-table.js';
import { DEMAND_MS, SlotTable } from './slot-table.js';

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

function takeMany(slots: SlotTable, one: InstanceEntry, urgency: string): number {
  return Array.from({ length: 100 }, () => slots.take(one, urgency, CLASSES)).filter(Boolean)
    .length;
}

test('slots stay bounded and a flood keeps away from a guarantee with demand', () => {
  const clock = new ManualClock();
  const slots = new SlotTable(clock);
  const one = instance();
  assert.equal(slots.take(one, 'urgent', CLASSES), true);
  assert.equal(takeMany(slots, one, 'idle'), 4);
  clock.advance(DEMAND_MS);
  assert.equal(takeMany(slots, one, 'idle'), 3);
  assert.deepEqual([one.slotsUsed, one.connectionsUsed], [8, 8]);
  slots.give(one, 'idle');
  assert.equal(takeMany(slots, one, 'urgent'), 1);
});

test('watches leave as many connections free as there are slots', () => {
  const slots = new SlotTable(new ManualClock());
  const one = instance();
  const taken = Array.from({ length: 100 }, () => slots.takeWatch(one)).filter(Boolean).length;
  assert.equal(taken, 56);
  assert.equal(takeMany(slots, one, 'urgent'), 8);
  assert.equal(one.connectionsUsed, 64);
});
