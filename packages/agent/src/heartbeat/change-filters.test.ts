/**
 * Guards against noise that enlarges heartbeats, and against large changes and slow drifts that entries
 * never receive.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { InstanceReport, TaskUsage } from '@figjunction/types';
import { COUNTS_INTERVAL_MS, InstanceChangeFilter } from './instance-change-filter.js';
import { UsageChangeFilter, USAGE_INTERVAL_MS } from './usage-change-filter.js';

const CAPACITY = { processorMillicores: 16_000, memoryMegabytes: 60_000, accelerators: 0 };

function usageOf(millicores: number, megabytes: number, slowdown: number | null = null): TaskUsage {
  const used = { processorMillicores: millicores, memoryMegabytes: megabytes, accelerators: 0 };
  return { taskId: 'a', kind: 'reprint', used, slowdown };
}

function instance(slotsUsed: number, ready: boolean): InstanceReport {
  const counts = { slots: 8, slotsUsed, connections: 64, connectionsUsed: slotsUsed };
  return { taskId: 'instance-labels-0', service: 'labels', attempt: 1, ready, ...counts };
}

describe('SteadyUsage', () => {
  const before = usageOf(1_000, 1_000);
  const other = { ...before, taskId: 'b' };
  const cases = [
    { name: 'noise of one task', from: [before], to: [usageOf(1_100, 1_050)], announced: false },
    {
      name: 'a large change of processors',
      from: [before],
      to: [usageOf(1_250, 1_000)],
      announced: true,
    },
    {
      name: 'a large change of memory',
      from: [before],
      to: [usageOf(1_000, 750)],
      announced: true,
    },
    {
      name: 'a large relative change of a small use',
      from: [usageOf(50, 8)],
      to: [usageOf(99, 8)],
      announced: false,
    },
    { name: 'a new task', from: [before], to: [before, other], announced: true },
    { name: 'a removed task', from: [before, other], to: [before], announced: true },
    { name: 'a replaced task', from: [before], to: [other], announced: true },
    {
      name: 'a large change of the VM load',
      from: [usageOf(8_000, 1)],
      to: [usageOf(8_800, 1)],
      announced: true,
    },
    {
      name: 'noise of the slowdown',
      from: [usageOf(1, 1, 1.1)],
      to: [usageOf(1, 1, 1.15)],
      announced: false,
    },
    {
      name: 'a large change of the slowdown',
      from: [usageOf(1, 1, 1.1)],
      to: [usageOf(1, 1, 1.25)],
      announced: true,
    },
  ];
  for (const { name, from, to, announced } of cases) {
    it(`${announced ? 'announces' : 'holds back'} ${name}`, () => {
      const filter = new UsageChangeFilter();
      filter.select(from, CAPACITY, 0);
      assert.equal(filter.select(to, CAPACITY, 1), announced ? to : from);
      assert.equal(filter.select(to, CAPACITY, USAGE_INTERVAL_MS), to);
    });
  }

  it('announces a drift whose single changes are below the threshold', () => {
    const filter = new UsageChangeFilter();
    filter.select([usageOf(1_000, 1)], CAPACITY, 0);
    const drift = [1_100, 1_200, 1_300].map((millicores) => [usageOf(millicores, 1)]);
    const results = drift.map((usage, index) => filter.select(usage, CAPACITY, index) === usage);
    assert.deepEqual(results, [false, false, true]);
  });
});

describe('SteadyInstances', () => {
  it('holds back changed counts for the interval, but no other change', () => {
    const filter = new InstanceChangeFilter();
    const first = [instance(1, true)];
    assert.equal(filter.select(first, 0), first);
    assert.equal(filter.select([instance(2, true)], COUNTS_INTERVAL_MS - 1), first);
    const draining = [instance(3, false)];
    assert.equal(filter.select(draining, COUNTS_INTERVAL_MS - 1), draining);
    const later = [instance(4, false)];
    assert.equal(filter.select(later, 2 * COUNTS_INTERVAL_MS), later);
  });
});
