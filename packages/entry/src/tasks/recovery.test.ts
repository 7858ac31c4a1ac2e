/**
 * Tests recovery of runs after their agent or entry failed, with entries that share one table.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LeaseState, TaskReportKind, TaskState, leaseKey } from '@figjunction/types';
import type { KnownEntry, LeaseRow } from '@figjunction/types';
import { countRequeues } from './testing/count-requeues.test.js';
import { TaskFixture, submitTasks } from './testing/task-fixture.test.js';
import type { TestEntry } from './testing/task-fixture.test.js';

function knownEntry(entryId: string): KnownEntry {
  return {
    entryId,
    address: `http://${entryId}`,
    location: { region: 'marmara', dataCentre: 'istanbul', rack: 'r0' },
  };
}

function makePeers(entries: TestEntry[]): void {
  const known = entries.map(({ context }) => knownEntry(context.settings.entryId));
  entries.forEach(({ context }) => context.peers.setLive(known));
}

async function leaseOf(fixture: TaskFixture, agentId: string): Promise<LeaseRow | undefined> {
  const [row] = await fixture.table.read<LeaseRow>([leaseKey(agentId)]);
  return row?.value;
}

// Guards against two copies of a run: the worker of a failed agent may continue until the lease expires.
test('the tasks of a dead agent are requeued only after its lease was fenced', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const first = await fixture.addAgent({ agentId: 'vm-1' });
  await submitTasks(fixture, entry, ['a']);
  await fixture.runUntil(() => first.runningTasks().length === 1);
  fixture.alive.delete(first);
  const second = await fixture.addAgent({ agentId: 'vm-2' });
  await fixture.run(9_000);
  assert.equal((await leaseOf(fixture, 'vm-1'))?.state, LeaseState.Active);
  assert.equal(countRequeues(fixture, 'kitchen.job-1.a'), 0);
  await fixture.runUntil(() => second.runningTasks().length === 1);
  assert.equal((await leaseOf(fixture, 'vm-1'))?.state, LeaseState.Fenced);
  assert.deepEqual(second.started, ['kitchen.job-1.a/2']);
  assert.equal(countRequeues(fixture, 'kitchen.job-1.a'), 1);
});

// Guards against placing a run on an agent whose lease was fenced but that has not noticed it yet.
test('a fenced agent that still sends heartbeats gets no claim', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent({ agentId: 'vm-1' });
  fixture.agentsWithoutRenewal.add(agent);
  await fixture.runUntil(async () => (await leaseOf(fixture, 'vm-1'))?.state === LeaseState.Fenced);
  await submitTasks(fixture, entry, ['a']);
  await fixture.run(5_000);
  assert.equal((await fixture.rows())[0]?.state, TaskState.Pending);
  assert.equal((await fixture.rows())[0]?.attempt, 0);
});

// Guards against a lease that is fenced between its read and the claim.
test('a claim fails when the lease row changes after it was read', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  await fixture.addAgent({ agentId: 'vm-1' });
  const read = fixture.table.read.bind(fixture.table);
  let fenced = false;
  fixture.table.read = async <Value>(keys: string[]) => {
    const rows = await read<Value>(keys);
    const [row] = rows;
    if (!fenced && keys[0] === leaseKey('vm-1') && row !== null && row !== undefined) {
      fenced = true;
      const value = { ...(row.value as LeaseRow), state: LeaseState.Fenced };
      await fixture.table.transact({
        checks: [],
        writes: [{ key: row.key, expectedVersion: row.version, value }],
      });
    }
    return rows;
  };
  await submitTasks(fixture, entry, ['a']);
  await fixture.run(5_000);
  assert.equal(fenced, true);
  assert.equal((await fixture.rows())[0]?.attempt, 0);
});

// Guards against fencing agents after a table outage before they had a chance to renew.
test('a table outage longer than the lease fences no agent', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent({ agentId: 'vm-1' });
  await submitTasks(fixture, entry, ['a']);
  await fixture.runUntil(() => agent.runningTasks().length === 1);
  fixture.platform.faults.outage = true;
  await fixture.run(25_000);
  fixture.platform.faults.outage = false;
  await fixture.run(20_000);
  assert.equal((await leaseOf(fixture, 'vm-1'))?.state, LeaseState.Active);
  assert.equal(countRequeues(fixture, 'kitchen.job-1.a'), 0);
  assert.deepEqual(agent.started, ['kitchen.job-1.a/1']);
});

// Guards against a burst of calls to a table that has just recovered.
test('the end of an outage does not cause a burst of transactions', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  await fixture.addAgent({ agentId: 'vm-1' });
  await submitTasks(fixture, entry, ['a', 'b', 'c']);
  fixture.platform.faults.outage = true;
  await fixture.run(30_000);
  fixture.platform.resetStats();
  fixture.platform.faults.outage = false;
  await fixture.run(1_000);
  assert.ok(fixture.platform.stats.transactions <= 20, `${fixture.platform.stats.transactions}`);
  assert.ok(fixture.platform.stats.reads <= 100, `${fixture.platform.stats.reads}`);
});

test('the remaining entries serve the shards of an entry that left', async () => {
  const fixture = new TaskFixture();
  const entries = ['entry-1', 'entry-2', 'entry-3'].map((id) => fixture.addEntry(id));
  makePeers(entries);
  const agent = await fixture.addAgent({ agentId: 'vm-1' });
  for (const leaving of [...entries]) {
    const rest = entries.filter((entry) => entry !== leaving);
    makePeers(rest);
    const [first] = rest;
    assert.ok(first !== undefined);
    const jobId = `job-${leaving.context.settings.entryId}`;
    await submitTasks(fixture, first, ['a'], { jobId }, rest);
    for (let step = 0; step < 100 && agent.runningTasks().length === 0; step += 1) {
      await fixture.run(100, rest);
    }
    assert.deepEqual(agent.runningTasks(), [`kitchen.${jobId}.a`]);
    const report = agent.end(`kitchen.${jobId}.a`, TaskReportKind.Completed);
    await fixture.report([report], first);
  }
});
