/**
 * The path of a run from submission to its end, with the faults that can strike on the way.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RpcMethod, TaskReportKind, TaskState } from '@figjunction/types';
import { configurationWith } from './testing/configuration-with.test.js';
import { TaskFixture, submitTasks } from './testing/task-fixture.test.js';

test('a run goes from pending through running to completed', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent({ agentId: 'vm-1' });
  await submitTasks(fixture, entry, ['a']);
  await fixture.runUntil(() => agent.runningTasks().length === 1);
  const [running] = await fixture.rows();
  assert.equal(running?.state, TaskState.Running);
  assert.equal(running?.attempt, 1);
  assert.deepEqual(running?.holder, { agentId: 'vm-1', incarnation: 1 });
  assert.equal(running?.lastDecision?.decision, 'Placed on vm-1');
  const report = agent.end('kitchen.job-1.a', TaskReportKind.Completed);
  const result = await fixture.report([report]);
  assert.deepEqual(result.settled, [true]);
  const [completed] = await fixture.rows();
  assert.equal(completed?.state, TaskState.Completed);
  assert.deepEqual(fixture.illegal, []);
});

// Guards against a job that is stored twice, or overwritten, when a caller repeats its submission.
test('a repeated submission changes nothing and other content is refused', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const first = await submitTasks(fixture, entry, ['a', 'b']);
  assert.equal(first.created, true);
  const second = await submitTasks(fixture, entry, ['a', 'b']);
  assert.equal(second.created, false);
  await assert.rejects(submitTasks(fixture, entry, ['a', 'c']), /exists with other content/u);
  assert.equal((await fixture.rows()).length, 2);
});

// Guards against a task that never starts because the hint to its agent was lost.
test('a lost start hint is sent again', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent({ agentId: 'vm-1' });
  agent.lost.add(RpcMethod.TaskStart);
  await submitTasks(fixture, entry, ['a']);
  await fixture.runUntil(async () => (await fixture.rows())[0]?.state === TaskState.Running);
  assert.deepEqual(agent.started, []);
  agent.lost.clear();
  await fixture.runUntil(() => agent.started.length === 1, 10_000);
  assert.deepEqual(agent.started, ['kitchen.job-1.a/1']);
});

// Guards against a claim that is written twice, or a task that is lost, when an answer of the table is lost.
test('a lost answer of the claim does not change the outcome', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent({ agentId: 'vm-1' });
  await fixture.run(1_000);
  fixture.platform.faults.loseAnswers = 2;
  await submitTasks(fixture, entry, ['a', 'b', 'c']).catch(() => {});
  await fixture.runUntil(() => agent.runningTasks().length === 3, 30_000);
  assert.equal(fixture.platform.faults.loseAnswers, 0);
  assert.deepEqual(fixture.illegal, []);
  assert.equal(agent.started.length, 3);
});

// Guards against one slow or dead agent holding up the placements on others.
test('an agent that does not answer holds up nobody else', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const silent = await fixture.addAgent({ agentId: 'vm-1' });
  const agent = await fixture.addAgent({ agentId: 'vm-2' });
  silent.lost.add(RpcMethod.TaskReserve);
  await submitTasks(fixture, entry, ['a', 'b', 'c', 'd']);
  await fixture.runUntil(() => agent.runningTasks().length === 4, 20_000);
});

// Guards against placements under a configuration that another process may have replaced.
test('nothing is placed while the configuration is not confirmed', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent({ agentId: 'vm-1' });
  entry.context.configuration.confirm = () => {};
  await fixture.run(7_000);
  await submitTasks(fixture, entry, ['a']);
  await fixture.run(3_000);
  assert.deepEqual(agent.started, []);
  assert.equal((await fixture.rows())[0]?.state, TaskState.Pending);
});

test('declared instances become rows, are spread over racks, and surplus ones end', async () => {
  const service = {
    name: 'labels-api',
    urgency: 'urgent',
    instances: 4,
    size: { processorMillicores: 500, memoryMegabytes: 128 },
  };
  const fixture = new TaskFixture(configurationWith({ services: [service] }));
  fixture.addEntry('entry-1');
  for (const [agentId, rack] of [
    ['vm-1', 'r1'],
    ['vm-2', 'r1'],
    ['vm-3', 'r2'],
    ['vm-4', 'r2'],
  ] as const) {
    await fixture.addAgent({ agentId, rack });
  }
  await fixture.runUntil(() => fixture.agents.every((agent) => agent.runningTasks().length === 1));
  fixture.apply(configurationWith({ services: [{ ...service, instances: 1 }] }));
  await fixture.runUntil(async () => {
    const rows = await fixture.rows();
    return rows.filter(({ state }) => state === TaskState.Cancelled).length === 3;
  }, 90_000);
  assert.equal(fixture.agents.flatMap((agent) => agent.runningTasks()).length, 1);
  fixture.apply(configurationWith({ services: [service] }));
  await fixture.runUntil(
    () => fixture.agents.flatMap((agent) => agent.runningTasks()).length === 4,
  );
  assert.deepEqual(fixture.illegal, []);
});
