/**
 * Guards against work that runs without a claim, twice, or in room that does not exist, and against ends
 * that are lost.
 */
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { sleep } from '@figjunction/time';
import { waitUntil } from '@figjunction/test-support';
import { RpcMethod, TaskReportKind, TaskState, WorkerTaskState } from '@figjunction/types';
import type { TaskRow } from '@figjunction/types';
import { AGENT_ID, AgentRig, CAPACITY } from './agent-fixture.test.js';
import { ONE_CORE } from './fake-entry.test.js';
import { taskRuntimeOf } from './task-runtime.js';

/** Long enough for several runs of every system of the loop. */
const SETTLE_MS = 700;

const LARGE = { processorMillicores: 9_000, memoryMegabytes: 500, accelerators: 0 };

describe('tasks of an agent', () => {
  let rig: AgentRig;
  before(async () => {
    rig = await AgentRig.create({ policy: { learning: false } });
  });
  after(() => rig.close());

  it('runs a claimed task, reports its end until that is settled, and forgets it', async () => {
    rig.entry.reportAnswersToLose = 1;
    await rig.run([{ taskId: 'hotels.a.1', parameters: { durationMs: '200' } }]);
    await waitUntil(async () => (await rig.entry.row('hotels.a.1')).state === TaskState.Completed);
    await waitUntil(() => !rig.worker.tasks.has('hotels.a.1'));
    await waitUntil(() => rig.context.room.heldTasks.length === 0);
    const reports = rig.entry.reports.filter(({ taskId }) => taskId === 'hotels.a.1');
    assert.equal(reports.length, 2, 'the report whose answer was lost is repeated');
    assert.deepEqual(rig.events('hotels.a.1'), ['task-start', 'task-complete']);
    assert.deepEqual(rig.context.room.free, CAPACITY);
  });

  it('reports a failed task as failed', async () => {
    const parameters = { durationMs: '100', fails: '1' };
    await rig.run([{ taskId: 'hotels.a.2', parameters }]);
    const report = await waitUntil(() =>
      rig.entry.reports.find(({ taskId }) => taskId === 'hotels.a.2'),
    );
    assert.equal(report.kind, TaskReportKind.Failed);
    assert.match(report.reason ?? '', /error/u);
  });

  it('refuses more tasks of a kind than the guards allow', async () => {
    const runtime = taskRuntimeOf(rig.context);
    const free = runtime.restraintOf;
    runtime.restraintOf = (kind) =>
      kind === 'render' ? { throttle: 0.05, tasksMaximum: 1 } : null;
    const plans = ['hotels.g.1', 'hotels.g.2'].map((taskId) => ({ taskId, kind: 'render' }));
    const [first, second] = await rig.reserve(plans, 500);
    const [other] = await rig.reserve([{ taskId: 'hotels.g.3', kind: 'reprint' }], 500);
    runtime.restraintOf = free;
    assert.equal(first, null);
    assert.match(second ?? '', /no more than 1 tasks of kind render/u);
    assert.equal(other, null);
    await waitUntil(() => runtime.tasks.get('hotels.g.1') === undefined);
  });

  const wrongRows: { name: string; overrides: Partial<TaskRow> }[] = [
    { name: 'another agent', overrides: { holder: { agentId: 'vm-2', incarnation: 1 } } },
    { name: 'another incarnation', overrides: { holder: { agentId: AGENT_ID, incarnation: 9 } } },
    { name: 'a later attempt', overrides: { attempt: 2 } },
    { name: 'no holder', overrides: { state: TaskState.Pending, holder: null } },
    { name: 'a cancelled task', overrides: { state: TaskState.Cancelled } },
  ];
  it('does not start a task whose row names something else', async () => {
    const plans = wrongRows.map(({ name }) => ({
      taskId: `hotels.wrong.${name.replaceAll(' ', '-')}`,
    }));
    await rig.reserve(plans);
    await Promise.all(plans.map((plan, index) => rig.claim(plan, wrongRows[index]?.overrides)));
    await rig.start(plans);
    await sleep(SETTLE_MS);
    for (const { taskId } of plans) {
      assert.deepEqual(rig.events(taskId), [], taskId);
      assert.ok(!rig.context.room.heldTasks.some((held) => held.taskId === taskId));
    }
  });

  it('does not start a task twice when the order is repeated or comes after the end', async () => {
    const plan = { taskId: 'hotels.b.1', parameters: { durationMs: '300' } };
    await rig.reserve([plan]);
    await rig.claim(plan);
    await Promise.all([rig.start([plan]), rig.start([plan]), rig.start([plan])]);
    await waitUntil(async () => (await rig.entry.row(plan.taskId)).state === TaskState.Completed);
    await rig.start([plan]);
    await sleep(SETTLE_MS);
    assert.deepEqual(rig.events(plan.taskId), ['task-start', 'task-complete']);
  });

  it('ignores orders to an earlier incarnation', async () => {
    const plan = { taskId: 'hotels.b.2' };
    await rig.claim(plan);
    await rig.start([plan], rig.context.incarnation - 1);
    await sleep(SETTLE_MS);
    assert.deepEqual(rig.events(plan.taskId), []);
  });

  it('admits no more than the capacity when several entries place at once', async () => {
    const plans = ['c.1', 'c.2', 'c.3'].map((name) => ({ taskId: `hotels.${name}`, size: LARGE }));
    const answers = await Promise.all(plans.map((plan) => rig.reserve([plan], 400)));
    assert.equal(answers.flat().filter((refusal) => refusal === null).length, 1);
  });

  it('gives room back when a reservation is not claimed in time', async () => {
    await waitUntil(() => rig.context.room.free.processorMillicores === 16_000);
    assert.deepEqual(await rig.reserve([{ taskId: 'hotels.c.4', size: LARGE }], 100), [null]);
    await waitUntil(async () => {
      const [refusal] = await rig.reserve([{ taskId: 'hotels.c.5', size: LARGE }], 100);
      return refusal === null;
    });
  });

  it('gives a claim back untouched when its reservation expired and the room is taken', async () => {
    await waitUntil(() => rig.context.room.free.processorMillicores === 16_000);
    await rig.run([{ taskId: 'hotels.d.1', size: LARGE }]);
    const late = { taskId: 'hotels.d.2', size: LARGE };
    await rig.claim(late);
    await rig.start([late]);
    const report = await waitUntil(() =>
      rig.entry.reports.find(({ taskId }) => taskId === late.taskId),
    );
    assert.equal(report.kind, TaskReportKind.Evicted);
    assert.deepEqual(rig.events(late.taskId), []);
  });

  it('evicts with a checkpoint, and only after the worker stopped the task', async () => {
    const stop = {
      incarnation: rig.context.incarnation,
      tasks: [{ taskId: 'hotels.d.1', attempt: 1 }],
      checkpoint: true,
      reason: 'test',
    };
    rig.objectPlatform.faults.outage = true;
    await rig.call(RpcMethod.TaskStop, stop);
    await sleep(SETTLE_MS);
    assert.equal(rig.worker.tasks.get('hotels.d.1')?.state, WorkerTaskState.Running);
    rig.objectPlatform.faults.outage = false;
    await waitUntil(async () => (await rig.entry.row('hotels.d.1')).state === TaskState.Pending);
    const expected = ['task-start', 'task-checkpoint', 'task-stop'];
    assert.deepEqual(rig.events('hotels.d.1'), expected);
    assert.match((await rig.entry.row('hotels.d.1')).checkpointKey ?? '', /hotels\.d\.1/u);
  });

  it('drops a cancelled task without a report', async () => {
    await rig.run([{ taskId: 'hotels.e.1', size: ONE_CORE }]);
    const { incarnation } = rig.context;
    const tasks = [{ taskId: 'hotels.e.1', attempt: 1 }];
    await rig.call(RpcMethod.TaskStop, { incarnation, tasks, checkpoint: false, reason: 'test' });
    await waitUntil(() => !rig.worker.tasks.has('hotels.e.1'));
    await sleep(SETTLE_MS);
    assert.ok(!rig.entry.reports.some(({ taskId }) => taskId === 'hotels.e.1'));
  });
});
