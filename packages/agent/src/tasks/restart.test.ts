/**
 * Guards against work that is lost, repeated or executed twice when the agent restarts, loses its lease or
 * cannot renew it.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { sleep } from '@figjunction/time';
import { waitUntil } from '@figjunction/test-support';
import { AgentState, RpcMethod, TaskState, TaskType, WorkerTaskState } from '@figjunction/types';
import { AgentRig } from './agent-fixture.test.js';
import { keyOf } from './fake-entry.test.js';

const LONG = { durationMs: '60000' };

describe('an agent that restarts', () => {
  let rig: AgentRig;
  beforeEach(async () => {
    rig = await AgentRig.create({ policy: { learning: false } });
  });
  afterEach(() => rig.close());

  it('hands its tasks over to the next incarnation', async () => {
    const instance = { taskId: 'instance-labels-0', type: TaskType.Instance, kind: 'labels' };
    await rig.run([{ taskId: 'hotels.a.1', parameters: LONG }, instance]);
    await waitUntil(() => rig.context.instances.get('instance-labels-0')?.targetAddress);
    await rig.stopAgent();
    assert.equal(rig.worker.tasks.size, 2);
    await rig.startAgent();
    assert.equal(rig.context.incarnation, 2);
    await waitUntil(async () => (await rig.entry.row('hotels.a.1')).holder?.incarnation === 2);
    await waitUntil(() => rig.worker.tasks.get('hotels.a.1')?.incarnation === 2);
    await waitUntil(() => rig.context.instances.get('instance-labels-0')?.targetAddress);
    assert.deepEqual(rig.events('hotels.a.1'), ['task-start']);
    assert.deepEqual(rig.events('instance-labels-0'), ['task-start']);
  });

  it('counts what it finds before it admits anything, and stops what others hold', async () => {
    await rig.run([
      { taskId: 'hotels.b.1', parameters: LONG },
      { taskId: 'hotels.b.2', parameters: LONG },
    ]);
    await rig.stopAgent();
    const row = await rig.entry.row('hotels.b.2');
    const holder = { agentId: 'vm-2', incarnation: 5 };
    await rig.entry.write(keyOf('hotels.b.2'), { ...row, attempt: 2, holder });
    rig.platform.faults.outage = true;
    const started = rig.startAgent();
    await waitUntil(() => rig.context.room.capacity.processorMillicores > 0);
    await waitUntil(() => rig.context.room.free.processorMillicores === 14_000);
    rig.platform.faults.outage = false;
    await started;
    await waitUntil(() => !rig.worker.tasks.has('hotels.b.2'));
    assert.ok(rig.worker.tasks.has('hotels.b.1'));
    assert.deepEqual((await rig.entry.row('hotels.b.2')).holder, holder);
  });

  it('reports a task that ended while no agent was there', async () => {
    await rig.run([{ taskId: 'hotels.c.1', parameters: { durationMs: '4000' } }]);
    await rig.stopAgent();
    await waitUntil(() => rig.worker.tasks.get('hotels.c.1')?.state === WorkerTaskState.Completed);
    await rig.startAgent();
    await waitUntil(async () => (await rig.entry.row('hotels.c.1')).state === TaskState.Completed);
    await waitUntil(() => !rig.worker.tasks.has('hotels.c.1'));
  });

  it('adopts although the answer to the adopting write is lost', async () => {
    await rig.run([{ taskId: 'hotels.d.1', parameters: LONG }]);
    await rig.stopAgent();
    const original = rig.table.transact.bind(rig.table);
    rig.table.transact = (transaction) => {
      if (transaction.writes.some(({ key }) => key === keyOf('hotels.d.1'))) {
        rig.table.transact = original;
        rig.platform.faults.loseAnswers = 1;
      }
      return original(transaction);
    };
    await rig.startAgent();
    await waitUntil(() => rig.worker.tasks.get('hotels.d.1')?.incarnation === 2);
    assert.deepEqual(rig.events('hotels.d.1'), ['task-start']);
  });

  it('stops batch runs and takes a new incarnation when it finds its lease fenced', async () => {
    const instance = { taskId: 'instance-labels-0', type: TaskType.Instance, kind: 'labels' };
    await rig.run([{ taskId: 'hotels.e.1', parameters: LONG }, instance]);
    await rig.fence();
    await waitUntil(() => rig.context.incarnation === 2);
    await waitUntil(() => !rig.worker.tasks.has('hotels.e.1'));
    await waitUntil(() => rig.worker.tasks.get('instance-labels-0')?.incarnation === 2);
    assert.deepEqual(rig.events('instance-labels-0'), ['task-start']);
    assert.ok(!rig.entry.reports.some(({ taskId }) => taskId === 'hotels.e.1'));
  });

  it('suspends runs when the lease cannot be renewed, and resumes them afterwards', async () => {
    const instance = { taskId: 'instance-labels-0', type: TaskType.Instance, kind: 'labels' };
    const plan = { taskId: 'hotels.f.1', parameters: LONG };
    await rig.run([plan, instance]);
    rig.entry.isDown = true;
    const suspended = () => rig.worker.tasks.get('hotels.f.1')?.state === WorkerTaskState.Suspended;
    await waitUntil(suspended, { timeoutMs: 15_000, what: 'the run is suspended' });
    const refusals = await rig.reserve([{ taskId: 'hotels.f.2' }]);
    assert.match(refusals[0] ?? '', /lease/u);
    await sleep(1_500);
    assert.equal(rig.worker.tasks.get('instance-labels-0')?.state, WorkerTaskState.Running);
    rig.entry.isDown = false;
    await waitUntil(() => !suspended(), { what: 'the run goes on' });
    const expected = ['task-start', 'task-suspend', 'task-resume'];
    assert.deepEqual(rig.events('hotels.f.1'), expected);
    assert.equal(rig.context.incarnation, 1);
  });

  it('drains on request: runs are given back with a checkpoint, instances stop', async () => {
    const instance = { taskId: 'instance-labels-0', type: TaskType.Instance, kind: 'labels' };
    await rig.run([{ taskId: 'hotels.g.1', parameters: LONG }, instance]);
    await rig.call(RpcMethod.AgentDrain, { drain: true });
    const announced = await waitUntil(() =>
      rig.entry.heartbeats.find(({ state }) => state === AgentState.Leaving),
    );
    assert.ok(announced.sections.instances?.every(({ ready }) => !ready));
    await waitUntil(async () => (await rig.entry.row('hotels.g.1')).state === TaskState.Pending);
    assert.notEqual((await rig.entry.row('hotels.g.1')).checkpointKey, null);
    const refusals = await rig.reserve([{ taskId: 'hotels.g.2' }]);
    assert.match(refusals[0] ?? '', /leaving/u);
    await waitUntil(() => rig.worker.tasks.size === 0);
    await waitUntil(
      async () => (await rig.entry.row('instance-labels-0')).state === TaskState.Pending,
    );
  });
});
