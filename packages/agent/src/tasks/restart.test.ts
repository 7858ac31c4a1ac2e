/**
 * Guards against tasks that are lost, restarted or executed twice when the agent restarts, loses its lease or
 * cannot renew it.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { sleep } from '@figjunction/time';
import { waitUntil } from '@figjunction/test-support';
import { AgentState, RpcMethod, TaskState, TaskType, WorkerTaskState } from '@figjunction/types';
import { AgentFixture } from './agent-fixture.test.js';
import { createTaskKey } from './fake-entry.test.js';

const LONG = { durationMs: '60000' };

describe('agent restart and lease loss', () => {
  let fixture: AgentFixture;
  beforeEach(async () => {
    fixture = await AgentFixture.create({ policy: { learning: false } });
  });
  afterEach(() => fixture.close());

  it('hands its tasks over to the next incarnation', async () => {
    const instance = { taskId: 'instance-labels-0', type: TaskType.Instance, kind: 'labels' };
    await fixture.run([{ taskId: 'hotels.a.1', parameters: LONG }, instance]);
    await waitUntil(() => fixture.context.instances.get('instance-labels-0')?.targetAddress);
    await fixture.stopAgent();
    assert.equal(fixture.worker.tasks.size, 2);
    await fixture.startAgent();
    assert.equal(fixture.context.incarnation, 2);
    await waitUntil(
      async () => (await fixture.entry.readRow('hotels.a.1')).holder?.incarnation === 2,
    );
    await waitUntil(() => fixture.worker.tasks.get('hotels.a.1')?.incarnation === 2);
    await waitUntil(() => fixture.context.instances.get('instance-labels-0')?.targetAddress);
    assert.deepEqual(fixture.events('hotels.a.1'), ['task-start']);
    assert.deepEqual(fixture.events('instance-labels-0'), ['task-start']);
  });

  it('counts tasks on the worker before it admits work, and stops those with another holder', async () => {
    await fixture.run([
      { taskId: 'hotels.b.1', parameters: LONG },
      { taskId: 'hotels.b.2', parameters: LONG },
    ]);
    await fixture.stopAgent();
    const row = await fixture.entry.readRow('hotels.b.2');
    const holder = { agentId: 'vm-2', incarnation: 5 };
    await fixture.entry.write(createTaskKey('hotels.b.2'), { ...row, attempt: 2, holder });
    fixture.platform.faults.outage = true;
    const started = fixture.startAgent();
    await waitUntil(() => fixture.context.capacityReport.capacity.processorMillicores > 0);
    await waitUntil(() => fixture.context.capacityReport.free.processorMillicores === 14_000);
    fixture.platform.faults.outage = false;
    await started;
    await waitUntil(() => !fixture.worker.tasks.has('hotels.b.2'));
    assert.ok(fixture.worker.tasks.has('hotels.b.1'));
    assert.deepEqual((await fixture.entry.readRow('hotels.b.2')).holder, holder);
  });

  it('reports a task that ended while the agent was stopped', async () => {
    await fixture.run([{ taskId: 'hotels.c.1', parameters: { durationMs: '4000' } }]);
    await fixture.stopAgent();
    await waitUntil(
      () => fixture.worker.tasks.get('hotels.c.1')?.state === WorkerTaskState.Completed,
    );
    await fixture.startAgent();
    await waitUntil(
      async () => (await fixture.entry.readRow('hotels.c.1')).state === TaskState.Completed,
    );
    await waitUntil(() => !fixture.worker.tasks.has('hotels.c.1'));
  });

  it('adopts a task although the response to the write of its holder is lost', async () => {
    await fixture.run([{ taskId: 'hotels.d.1', parameters: LONG }]);
    await fixture.stopAgent();
    const original = fixture.table.transact.bind(fixture.table);
    fixture.table.transact = (transaction) => {
      if (transaction.writes.some(({ key }) => key === createTaskKey('hotels.d.1'))) {
        fixture.table.transact = original;
        fixture.platform.faults.loseAnswers = 1;
      }
      return original(transaction);
    };
    await fixture.startAgent();
    await waitUntil(() => fixture.worker.tasks.get('hotels.d.1')?.incarnation === 2);
    assert.deepEqual(fixture.events('hotels.d.1'), ['task-start']);
  });

  it('stops batch runs and acquires a new incarnation when its lease is fenced', async () => {
    const instance = { taskId: 'instance-labels-0', type: TaskType.Instance, kind: 'labels' };
    await fixture.run([{ taskId: 'hotels.e.1', parameters: LONG }, instance]);
    await fixture.fence();
    await waitUntil(() => fixture.context.incarnation === 2);
    await waitUntil(() => !fixture.worker.tasks.has('hotels.e.1'));
    await waitUntil(() => fixture.worker.tasks.get('instance-labels-0')?.incarnation === 2);
    assert.deepEqual(fixture.events('instance-labels-0'), ['task-start']);
    assert.ok(!fixture.entry.reports.some(({ taskId }) => taskId === 'hotels.e.1'));
  });

  it('suspends runs when the lease cannot be renewed, and resumes them afterwards', async () => {
    const instance = { taskId: 'instance-labels-0', type: TaskType.Instance, kind: 'labels' };
    const plan = { taskId: 'hotels.f.1', parameters: LONG };
    await fixture.run([plan, instance]);
    fixture.entry.isDown = true;
    const suspended = () =>
      fixture.worker.tasks.get('hotels.f.1')?.state === WorkerTaskState.Suspended;
    await waitUntil(suspended, { timeoutMs: 15_000, what: 'the run is suspended' });
    const refusals = await fixture.reserve([{ taskId: 'hotels.f.2' }]);
    assert.match(refusals[0] ?? '', /lease/u);
    await sleep(1_500);
    assert.equal(fixture.worker.tasks.get('instance-labels-0')?.state, WorkerTaskState.Running);
    fixture.entry.isDown = false;
    await waitUntil(() => !suspended(), { what: 'the run is resumed' });
    const expected = ['task-start', 'task-suspend', 'task-resume'];
    assert.deepEqual(fixture.events('hotels.f.1'), expected);
    assert.equal(fixture.context.incarnation, 1);
  });

  it('drains on request: evicts runs with a checkpoint and stops instances', async () => {
    const instance = { taskId: 'instance-labels-0', type: TaskType.Instance, kind: 'labels' };
    await fixture.run([{ taskId: 'hotels.g.1', parameters: LONG }, instance]);
    await fixture.callAgent(RpcMethod.AgentDrain, { drain: true });
    const announced = await waitUntil(() =>
      fixture.entry.heartbeats.find(({ state }) => state === AgentState.Leaving),
    );
    assert.ok(announced.sections.instances?.every(({ ready }) => !ready));
    await waitUntil(
      async () => (await fixture.entry.readRow('hotels.g.1')).state === TaskState.Pending,
    );
    assert.notEqual((await fixture.entry.readRow('hotels.g.1')).checkpointKey, null);
    const refusals = await fixture.reserve([{ taskId: 'hotels.g.2' }]);
    assert.match(refusals[0] ?? '', /leaving/u);
    await waitUntil(() => fixture.worker.tasks.size === 0);
    await waitUntil(
      async () => (await fixture.entry.readRow('instance-labels-0')).state === TaskState.Pending,
    );
  });
});
