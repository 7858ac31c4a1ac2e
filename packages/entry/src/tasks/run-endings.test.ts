/**
 * Tests how runs end: cancellation, late reports and evictions.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RpcMethod, TaskReportKind, TaskState } from '@figjunction/types';
import { cancelRows } from './cancellation.js';
import { listRuns } from './job-reader.js';
import { TaskFixture, submitTasks } from './testing/task-fixture.test.js';

test('a cancelled running task is fenced by its row and its agent gets a stop order', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent({ agentId: 'vm-1' });
  await submitTasks(fixture, entry, ['a', 'b', 'c']);
  await fixture.runUntil(() => agent.runningTasks().length === 3);
  agent.lost.add(RpcMethod.TaskStop);
  const rows = await listRuns(entry.tasks, { team: 'kitchen', state: null, limit: 10 });
  const cancelled = cancelRows(entry.tasks, rows, 'cancelled by a test');
  await fixture.run(1_000);
  assert.equal(await cancelled, 3);
  assert.equal(agent.runningTasks().length, 3);
  // Guards against a task that continues because its stop order was lost.
  agent.lost.clear();
  await fixture.runUntil(() => agent.runningTasks().length === 0, 20_000);
  assert.deepEqual(fixture.illegal, []);
});

// Guards against a late report of a fenced attempt that ends the run of another agent.
test('a report of an earlier attempt is settled without effect', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const first = await fixture.addAgent({ agentId: 'vm-1' });
  await submitTasks(fixture, entry, ['a']);
  await fixture.runUntil(() => first.runningTasks().length === 1);
  fixture.alive.delete(first);
  const second = await fixture.addAgent({ agentId: 'vm-2' });
  await fixture.runUntil(() => second.runningTasks().length === 1);
  const late = first.end('kitchen.job-1.a', TaskReportKind.Completed);
  assert.deepEqual(await fixture.report([late]), { settled: [true], applied: [false] });
  assert.equal((await fixture.rows())[0]?.state, TaskState.Running);
});

test('an evicted run resumes with its checkpoint, and a repeated report changes nothing', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  const agent = await fixture.addAgent({ agentId: 'vm-1' });
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
