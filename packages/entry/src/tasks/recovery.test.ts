/**
 * Recovery of runs whose agent or entry failed, over two entries with the same table.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { LeaseState, RpcMethod, TaskReportKind, TaskState, leaseKey } from '@figjunction/types';
import type { KnownEntry, LeaseRow } from '@figjunction/types';
import { cancelRows } from './cancellation.js';
import { listRuns } from './job-reader.js';
import { shardOfTeam } from './task-identifiers.js';
import { AgentFake } from './testing/agent-fake.test.js';
import { TaskFixture, submitTasks } from './testing/task-fixture.test.js';
import type { TestEntry } from './testing/task-fixture.test.js';

const SHARD_OF_TEAM = shardOfTeam('kitchen');

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

function requeues(fixture: TaskFixture, taskId: string): number {
  return fixture.changes.filter(
    ({ before, after }) =>
      after.taskId === taskId &&
      before?.state === TaskState.Running &&
      after.state === TaskState.Pending,
  ).length;
}

// Guards against two copies of a run: the dead agent's worker may go on until its lease has passed.
test('the tasks of a dead agent are requeued only after its lease was fenced', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const first = await fixture.addAgent(
    new AgentFake({ agentId: 'vm-1', ...fixture.agentOptions() }),
  );
  await submitTasks(fixture, entry, ['a']);
  await fixture.runUntil(() => first.runningTasks().length === 1);
  fixture.alive.delete(first);
  const second = await fixture.addAgent(
    new AgentFake({ agentId: 'vm-2', ...fixture.agentOptions() }),
  );
  await fixture.run(9_000);
  assert.equal((await leaseOf(fixture, 'vm-1'))?.state, LeaseState.Active);
  assert.equal(requeues(fixture, 'kitchen.job-1.a'), 0);
  await fixture.runUntil(() => second.runningTasks().length === 1);
  assert.equal((await leaseOf(fixture, 'vm-1'))?.state, LeaseState.Fenced);
  assert.deepEqual(second.started, ['kitchen.job-1.a/2']);
  assert.equal(requeues(fixture, 'kitchen.job-1.a'), 1);
});

// Guards against giving a run to an agent that lost its lease and does not know it yet.
test('a fenced agent that still announces itself gets no claim', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent(
    new AgentFake({ agentId: 'vm-1', ...fixture.agentOptions() }),
  );
  fixture.unrenewed.add(agent);
  await fixture.runUntil(async () => (await leaseOf(fixture, 'vm-1'))?.state === LeaseState.Fenced);
  await submitTasks(fixture, entry, ['a']);
  await fixture.run(5_000);
  assert.equal((await fixture.rows())[0]?.state, TaskState.Pending);
  assert.equal((await fixture.rows())[0]?.attempt, 0);
});

// Guards against the fence that lands between the read of the lease and the claim.
test('a claim fails when the lease row changes after it was read', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  await fixture.addAgent(new AgentFake({ agentId: 'vm-1', ...fixture.agentOptions() }));
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

// Guards against an outage after which agents are fenced before they could renew.
test('an outage longer than the lease fences nobody', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent(
    new AgentFake({ agentId: 'vm-1', ...fixture.agentOptions() }),
  );
  await submitTasks(fixture, entry, ['a']);
  await fixture.runUntil(() => agent.runningTasks().length === 1);
  fixture.platform.faults.outage = true;
  await fixture.run(25_000);
  fixture.platform.faults.outage = false;
  await fixture.run(20_000);
  assert.equal((await leaseOf(fixture, 'vm-1'))?.state, LeaseState.Active);
  assert.equal(requeues(fixture, 'kitchen.job-1.a'), 0);
  assert.deepEqual(agent.started, ['kitchen.job-1.a/1']);
});

// Guards against a burst of calls on a table that just came back.
test('the end of an outage does not cause a burst of transactions', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  await fixture.addAgent(new AgentFake({ agentId: 'vm-1', ...fixture.agentOptions() }));
  await submitTasks(fixture, entry, ['a', 'b', 'c']);
  fixture.platform.faults.outage = true;
  await fixture.run(30_000);
  fixture.platform.resetStats();
  fixture.platform.faults.outage = false;
  await fixture.run(1_000);
  assert.ok(fixture.platform.stats.transactions <= 20, `${fixture.platform.stats.transactions}`);
  assert.ok(fixture.platform.stats.reads <= 100, `${fixture.platform.stats.reads}`);
});

test('the shards of an entry that is gone are served by the others', async () => {
  const fixture = new TaskFixture();
  const entries = ['entry-1', 'entry-2', 'entry-3'].map((id) => fixture.addEntry(id));
  makePeers(entries);
  const agent = await fixture.addAgent(
    new AgentFake({ agentId: 'vm-1', ...fixture.agentOptions() }),
  );
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

test('a cancelled running task is fenced by its row and its agent is told to stop', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent(
    new AgentFake({ agentId: 'vm-1', ...fixture.agentOptions() }),
  );
  await submitTasks(fixture, entry, ['a', 'b', 'c']);
  await fixture.runUntil(() => agent.runningTasks().length === 3);
  agent.lost.add(RpcMethod.TaskStop);
  const rows = await listRuns(entry.tasks, { team: 'kitchen', state: null, limit: 10 });
  const cancelled = cancelRows(entry.tasks, rows, 'cancelled by a test');
  await fixture.run(1_000);
  assert.equal(await cancelled, 3);
  assert.equal(agent.runningTasks().length, 3);
  // Guards against a task that goes on because its stop order was lost.
  agent.lost.clear();
  await fixture.runUntil(() => agent.runningTasks().length === 0, 20_000);
  assert.deepEqual(fixture.illegal, []);
});

// Guards against a late report of a fenced attempt that ends the run of another agent.
test('a report of an earlier attempt is settled without effect', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const first = await fixture.addAgent(
    new AgentFake({ agentId: 'vm-1', ...fixture.agentOptions() }),
  );
  await submitTasks(fixture, entry, ['a']);
  await fixture.runUntil(() => first.runningTasks().length === 1);
  fixture.alive.delete(first);
  const second = await fixture.addAgent(
    new AgentFake({ agentId: 'vm-2', ...fixture.agentOptions() }),
  );
  await fixture.runUntil(() => second.runningTasks().length === 1);
  const late = first.end('kitchen.job-1.a', TaskReportKind.Completed);
  assert.deepEqual(await fixture.report([late]), { settled: [true], applied: [false] });
  assert.equal((await fixture.rows())[0]?.state, TaskState.Running);
});

test('an evicted run resumes with its checkpoint, and a repeated report changes nothing', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent(
    new AgentFake({ agentId: 'vm-1', ...fixture.agentOptions() }),
  );
  await submitTasks(fixture, entry, ['a']);
  await fixture.runUntil(() => agent.runningTasks().length === 1);
  const report = agent.end('kitchen.job-1.a', TaskReportKind.Evicted, 'checkpoints/a/1');
  await fixture.report([report]);
  await fixture.runUntil(() => agent.started.length === 2);
  assert.deepEqual(await fixture.report([report]), { settled: [true], applied: [false] });
  const [row] = await fixture.rows();
  assert.equal(row?.checkpointKey, 'checkpoints/a/1');
  assert.equal(row?.attempt, 2);
  assert.equal(row?.evictions, 1);
});

// Two entries that both believe they own every shard: the race of two resumers, with lost answers.
test('a run is requeued exactly once per fencing and never runs twice at once', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.record({
        lostAnswers: fc.integer({ min: 0, max: 4 }),
        tasks: fc.integer({ min: 1, max: 6 }),
        deadAfterMs: fc.integer({ min: 0, max: 3_000 }),
        outageMs: fc.constantFrom(0, 1_000, 15_000),
      }),
      async ({ lostAnswers, tasks, deadAfterMs, outageMs }) => {
        const fixture = new TaskFixture();
        const entries = ['entry-1', 'entry-2'].map((id) => fixture.addEntry(id));
        const [first] = entries;
        assert.ok(first !== undefined);
        const dead = await fixture.addAgent(
          new AgentFake({ agentId: 'vm-1', ...fixture.agentOptions() }),
        );
        const names = Array.from({ length: tasks }, (_, index) => `t${index}`);
        await submitTasks(fixture, first, names);
        await fixture.run(deadAfterMs);
        fixture.alive.delete(dead);
        const stranded = dead.runningTasks().length;
        const other = await fixture.addAgent(
          new AgentFake({
            agentId: 'vm-2',
            ...fixture.agentOptions(),
            capacity: { processorMillicores: 8_000, memoryMegabytes: 8_192, accelerators: 0 },
          }),
        );
        fixture.platform.faults.loseAnswers = lostAnswers;
        fixture.platform.faults.outage = outageMs > 0;
        await fixture.run(outageMs);
        fixture.platform.faults.outage = false;
        await fixture.runUntil(() => other.runningTasks().length === tasks, 120_000);
        assert.deepEqual(fixture.illegal, []);
        for (const name of names) {
          assert.ok(requeues(fixture, `kitchen.job-1.${name}`) <= 1);
        }
        assert.ok(stranded <= tasks);
        assert.equal(new Set(other.started).size, other.started.length);
      },
    ),
    { numRuns: 25, seed: 7 },
  );
});

// Guards against stale views: an entry that trusts its own picture overfills a VM or claims a run twice.
test('two entries with stale views neither exceed a capacity nor claim a run twice', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.integer({ min: 1, max: 12 }), { minLength: 2, maxLength: 4 }),
      fc.integer({ min: 0, max: 2_000 }),
      fc.integer({ min: 0, max: 3 }),
      async (jobSizes, staleMs, lostAnswers) => {
        const fixture = new TaskFixture();
        const entries = ['entry-1', 'entry-2'].map((id) => fixture.addEntry(id));
        for (const agentId of ['vm-1', 'vm-2', 'vm-3']) {
          await fixture.addAgent(new AgentFake({ agentId, ...fixture.agentOptions() }));
        }
        const checkRoom = (): void =>
          fixture.agents.forEach((agent) => {
            assert.ok(agent.usedMillicores() <= agent.capacity.processorMillicores);
          });
        // Heartbeats stop: both entries go on with the room of empty agents.
        fixture.heartbeatsPaused = true;
        fixture.platform.faults.loseAnswers = lostAnswers;
        for (const [index, size] of jobSizes.entries()) {
          const names = Array.from({ length: size }, (_, position) => `t${position}`);
          const entry = entries[index % entries.length];
          assert.ok(entry !== undefined);
          // Both entries learn of the job at once, so that they race for its runs.
          entries.forEach(({ tasks }) => tasks.shards.notify([SHARD_OF_TEAM]));
          await submitTasks(fixture, entry, names, { jobId: `job-${index}` });
          entries.forEach(({ tasks }) => tasks.shards.notify([SHARD_OF_TEAM]));
          checkRoom();
        }
        await fixture.run(staleMs);
        fixture.heartbeatsPaused = false;
        await fixture.run(2_000);
        checkRoom();
        assert.deepEqual(fixture.illegal, []);
        const started = fixture.agents.flatMap((agent) => agent.started);
        assert.equal(new Set(started).size, started.length);
      },
    ),
    { numRuns: 20, seed: 11 },
  );
});
