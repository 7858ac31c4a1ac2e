/**
 * Holding, quarantine, approval and retention, over a fake table and agent fakes.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  LEASE_PREFIX,
  PROPOSAL_PREFIX,
  ProposalState,
  TaskReportKind,
  TaskState,
} from '@figjunction/types';
import type { ProposalRow } from '@figjunction/types';
import { configurationWith } from './testing/configuration-with.test.js';
import { TaskFixture, submitTasks } from './testing/task-fixture.test.js';

const LABELS = {
  name: 'labels',
  urgency: 'overnight',
  size: { processorMillicores: 1_000, memoryMegabytes: 512 },
};

function kinds(...overrides: Record<string, unknown>[]): Record<string, unknown> {
  return { batchKinds: overrides.map((override) => ({ ...LABELS, ...override })) };
}

async function onlyRow(fixture: TaskFixture) {
  const [row] = await fixture.rows();
  assert.ok(row !== undefined);
  return row;
}

// Guards against an impossible job that is looked at in every tick, or dropped without a word.
test('a run that fits on no VM is held with the reason, and released by a larger VM', async () => {
  const size = { processorMillicores: 6_000, memoryMegabytes: 512 };
  const fixture = new TaskFixture(configurationWith(kinds({ size })));
  const entry = fixture.addEntry('entry-1');
  await fixture.addAgent({ agentId: 'vm-1' });
  await submitTasks(fixture, entry, ['a']);
  await fixture.runUntil(async () => (await onlyRow(fixture)).state === TaskState.Held, 15_000);
  assert.match((await onlyRow(fixture)).reason ?? '', /no allowed VM is large enough/u);
  const capacity = { processorMillicores: 8_000, memoryMegabytes: 8_192, accelerators: 0 };
  const large = await fixture.addAgent({ agentId: 'vm-2', capacity });
  await fixture.runUntil(() => large.runningTasks().length === 1, 10_000);
  assert.deepEqual(fixture.illegal, []);
});

// Guards against the caution for unknown sizes making a run impossible that fits as declared.
test('a run that fits as declared starts although its widened estimate fits nowhere', async () => {
  const size = { processorMillicores: 3_500, memoryMegabytes: 512 };
  const fixture = new TaskFixture(configurationWith(kinds({ size })));
  fixture.policy = { learning: true };
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent({ agentId: 'vm-1' });
  await submitTasks(fixture, entry, ['a']);
  await fixture.runUntil(() => agent.runningTasks().length === 1, 15_000);
  assert.equal(agent.usedMillicores(), 4_000);
});

// Guards against a new entry that holds everything because it does not know the fleet yet.
test('a run is not held while no VM is known', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  await submitTasks(fixture, entry, ['a']);
  await fixture.run(20_000);
  assert.equal((await onlyRow(fixture)).state, TaskState.Pending);
});

test('a run that fails too often is held, and released when its kind changes', async () => {
  const fixture = new TaskFixture(configurationWith(kinds({ failuresMaximum: 2 })));
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent({ agentId: 'vm-1' });
  await submitTasks(fixture, entry, ['a']);
  for (let failure = 0; failure < 2; failure += 1) {
    await fixture.runUntil(() => agent.runningTasks().length === 1);
    await fixture.report([agent.end('kitchen.job-1.a', TaskReportKind.Failed)]);
  }
  await fixture.runUntil(async () => (await onlyRow(fixture)).state === TaskState.Held);
  fixture.apply(configurationWith(kinds({ failuresMaximum: 2 }, { name: 'another' })));
  await fixture.run(5_000);
  assert.equal((await onlyRow(fixture)).state, TaskState.Held);
  fixture.apply(configurationWith(kinds({ failuresMaximum: 3 })));
  await fixture.runUntil(() => agent.runningTasks().length === 1);
  assert.deepEqual(fixture.illegal, []);
});

// Guards against a worker that frees its room by failing and so draws the runs of the whole fleet.
test('a worker that fails everything gets few starts', async () => {
  const names = ['labels', 'menus', 'scans', 'forms'];
  const fixture = new TaskFixture(
    configurationWith({
      ...kinds(...names.map((name) => ({ name, failuresMaximum: 100 }))),
      teams: [{ name: 'kitchen', urgencies: ['overnight'], runningTasks: 100 }],
    }),
  );
  const entry = fixture.addEntry('entry-1');
  const bad = await fixture.addAgent({ agentId: 'vm-bad' });
  const good = await Promise.all([
    fixture.addAgent({ agentId: 'vm-1' }),
    fixture.addAgent({ agentId: 'vm-2' }),
  ]);
  const tasks = Array.from({ length: 30 }, (_, index) => `t${index}`);
  for (const kind of names) {
    await submitTasks(fixture, entry, tasks, { jobId: kind, kind });
  }
  for (let step = 0; step < 60; step += 1) {
    const failed = bad.runningTasks().map((taskId) => bad.end(taskId, TaskReportKind.Failed));
    const completed = good.flatMap((agent) =>
      agent.runningTasks().map((taskId) => agent.end(taskId, TaskReportKind.Completed)),
    );
    await fixture.report([...failed, ...completed]);
  }
  const rows = await fixture.rows();
  const done = rows.filter(({ state }) => state === TaskState.Completed);
  assert.equal(done.length, 120);
  assert.ok(bad.started.length <= 12, `${bad.started.length} starts on the failing worker`);
});

test('an instance that fails at once waits longer each time, one that ran well does not', async () => {
  const size = { processorMillicores: 500, memoryMegabytes: 128 };
  const api = { name: 'api', urgency: 'urgent', instances: 1, size };
  const fixture = new TaskFixture(configurationWith({ services: [api] }));
  fixture.policy = { learning: false, quarantine: false };
  fixture.addEntry('entry-1');
  const agent = await fixture.addAgent({ agentId: 'vm-1' });
  const delays: number[] = [];
  for (let failure = 0; failure < 4; failure += 1) {
    await fixture.runUntil(() => agent.runningTasks().length === 1);
    if (failure === 3) {
      await fixture.run(60_000);
    }
    await fixture.report([agent.end('instance-api-0', TaskReportKind.Failed)]);
    const failedAt = fixture.clock.now();
    await fixture.runUntil(() => agent.runningTasks().length === 1);
    delays.push(fixture.clock.now() - failedAt);
  }
  const [first = 0, , third = 0, afterLongRun = 0] = delays;
  assert.ok(third > first + 500, `${delays}`);
  assert.ok(afterLongRun <= first, `${delays}`);
});

test('a proposal waits for a configuration that names it, and then acts once', async () => {
  const approval = kinds({ placement: 'approval' });
  const fixture = new TaskFixture(configurationWith(approval));
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent({ agentId: 'vm-1' });
  await submitTasks(fixture, entry, ['a']);
  await fixture.run(12_000);
  const proposals = async (): Promise<ProposalRow[]> => {
    const page = await fixture.table.scan<ProposalRow>({
      prefix: PROPOSAL_PREFIX,
      after: '',
      limit: 10,
    });
    return page.rows.map(({ value }) => value);
  };
  const [proposal, ...others] = await proposals();
  assert.ok(proposal !== undefined);
  assert.deepEqual(others, []);
  assert.deepEqual(agent.started, []);
  fixture.apply(configurationWith({ ...approval, approvedProposals: [proposal.proposalId] }));
  await fixture.runUntil(() => agent.started.length === 1);
  await fixture.runUntil(async () => (await proposals())[0]?.state === ProposalState.Approved);
  assert.deepEqual(agent.started, ['kitchen.job-1.a/1']);
});

test('ended runs are deleted after the retention time and not before', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent({ agentId: 'vm-1' });
  await submitTasks(fixture, entry, ['a']);
  await fixture.runUntil(() => agent.runningTasks().length === 1);
  await fixture.report([agent.end('kitchen.job-1.a', TaskReportKind.Completed)]);
  await fixture.run(30_000);
  assert.equal((await fixture.rows()).length, 1);
  fixture.clock.advance(24 * 60 * 60 * 1_000);
  await fixture.runUntil(async () => (await fixture.rows()).length === 0, 60_000);
});

test('the lease of a VM that is gone is deleted a day after it was fenced', async () => {
  const fixture = new TaskFixture();
  fixture.addEntry('entry-1');
  const agent = await fixture.addAgent({ agentId: 'vm-1' });
  fixture.alive.delete(agent);
  const leases = async (): Promise<number> => {
    const page = await fixture.table.scan({ prefix: LEASE_PREFIX, after: '', limit: 10 });
    return page.rows.length;
  };
  await fixture.run(40_000);
  assert.equal(await leases(), 1);
  fixture.clock.advance(24 * 60 * 60 * 1_000);
  await fixture.runUntil(async () => (await leases()) === 0, 60_000);
});

// Guards against pull placement that gives work to agents that did not ask for it.
test('pull placement starts runs only on agents that ask for work', async () => {
  const fixture = new TaskFixture();
  fixture.policy = { learning: false, placementMode: 'pull' };
  const entry = fixture.addEntry('entry-1');
  const asking = await fixture.addAgent({ agentId: 'vm-1' });
  const silent = await fixture.addAgent({ agentId: 'vm-2' });
  silent.wantsWork = false;
  await submitTasks(fixture, entry, ['a', 'b', 'c', 'd', 'e', 'f']);
  await fixture.runUntil(() => asking.runningTasks().length === 4);
  await fixture.run(2_000);
  assert.deepEqual(silent.started, []);
  silent.wantsWork = true;
  await fixture.runUntil(() => silent.runningTasks().length === 2);
});

// Guards against work that is started by an entry which is about to stop.
test('a stopping entry places nothing and settles its writes', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent({ agentId: 'vm-1' });
  entry.tasks.isStopping = true;
  await submitTasks(fixture, entry, ['a']);
  await fixture.run(3_000);
  assert.deepEqual(agent.started, []);
});
