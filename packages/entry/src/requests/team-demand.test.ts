import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '@figjunction/time';
import { TeamDemandTable } from './team-demand.js';

function record(table: TeamDemandTable, team: string, count: number): void {
  for (let index = 0; index < count; index += 1) {
    table.record(team);
  }
}

test('demand is the request rate of the last second', () => {
  const clock = new ManualClock();
  const table = new TeamDemandTable(clock, () => 1);
  record(table, 'kitchen', 10);
  assert.deepEqual(table.demandPerSecond(), [{ team: 'kitchen', requestsPerSecond: 10 }]);
  clock.advance(1_500);
  assert.equal(table.demandPerSecond()[0]?.requestsPerSecond, 5);
  clock.advance(2_000);
  assert.deepEqual(table.demandPerSecond(), []);
});

test('an entry uses the whole quota without peers, and an equal share before the first digest', () => {
  const clock = new ManualClock();
  assert.equal(new TeamDemandTable(clock, () => 1).getQuotaShare('kitchen'), 1);
  assert.equal(new TeamDemandTable(clock, () => 4).getQuotaShare('kitchen'), 0.25);
});

// Guards against two partitioned entries that both use the whole quota.
test('an entry that no longer receives digests keeps its last share', () => {
  const clock = new ManualClock();
  const table = new TeamDemandTable(clock, () => 2);
  record(table, 'kitchen', 10);
  table.setPeerDemand('entry-2', [{ team: 'kitchen', requestsPerSecond: 30 }]);
  const share = table.getQuotaShare('kitchen');
  assert.ok(share > 0.25 && share < 0.35);
  clock.advance(60_000);
  assert.equal(table.getQuotaShare('kitchen'), share);
});

// Guards against a burst of nearly twice the quota when demand starts at two entries at the same time.
test('new demand does not raise the share before the next digest', () => {
  const table = new TeamDemandTable(new ManualClock(), () => 2);
  table.setPeerDemand('entry-2', []);
  record(table, 'kitchen', 100);
  assert.equal(table.getQuotaShare('kitchen'), 0.5);
  table.setPeerDemand('entry-2', [{ team: 'kitchen', requestsPerSecond: 100 }]);
  assert.equal(table.getQuotaShare('kitchen'), 0.5);
});
