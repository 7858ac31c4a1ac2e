/**
 * Guards against tasks that run without a claim, twice or beyond the capacity of the VM, and against ends of
 * tasks that are not reported.
 */
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { sleep } from '@figjunction/time';
import { waitUntil } from '@figjunction/test-support';
import { RpcMethod, TaskReportKind, TaskState, WorkerTaskState } from '@figjunction/types';
import type { TaskRow } from '@figjunction/types';
import { AGENT_ID, AgentFixture, CAPACITY } from './agent-fixture.test.js';
import { ONE_CORE } from './fake-entry.test.js';
import { getTaskRuntime } from './task-runtime.js';

/** Long enough for every system to run several times. */
const SETTLE_MS = 700;

const LARGE = { processorMillicores: 9_000, memoryMegabytes: 500, accelerators: 0 };

describe('tasks of an agent', () => {
  let fixture: AgentFixture;
  before(async () => {
    fixture = await AgentFixture.create({ policy: { learning: false } });
  });
  after(() => fixture.close());

  it('runs a claimed task, reports its end until it is settled, and removes the task', async () => {
    fixture.entry.reportResponsesToLose = 1;
    await fixture.run([{ taskId: 'hotels.a.1', parameters: { durationMs: '200' } }]);
    await waitUntil(
      async () => (await fixture.entry.readRow('hotels.a.1')).state === TaskState.Completed,
    );
    await waitUntil(() => !fixture.worker.tasks.has('hotels.a.1'));
    await waitUntil(() => fixture.context.capacityReport.heldTasks.length === 0);
    const reports = fixture.entry.reports.filter(({ taskId }) => taskId === 'hotels.a.1');
    assert.equal(reports.length, 2, 'the report whose response was lost is sent again');
    assert.deepEqual(fixture.events('hotels.a.1'), ['task-start', 'task-complete']);
    assert.deepEqual(fixture.context.capacityReport.free, CAPACITY);
  });

  it('reports a failed task as failed', async () => {
    const parameters = { durationMs: '100', fails: '1' };
    await fixture.run([{ taskId: 'hotels.a.2', parameters }]);
    const report = await waitUntil(() =>
      fixture.entry.reports.find(({ taskId }) => taskId === 'hotels.a.2'),
    );
    assert.equal(report.kind, TaskReportKind.Failed);
    assert.match(report.reason ?? '', /error/u);
  });

  it('refuses more tasks of a kind than the guards allow', async () => {
    const runtime = getTaskRuntime(fixture.context);
    const original = runtime.findKindLimits;
    runtime.findKindLimits = (kind) =>
      kind === 'render' ? { throttle: 0.05, tasksMaximum: 1 } : null;
    const plans = ['hotels.g.1', 'hotels.g.2'].map((taskId) => ({ taskId, kind: 'render' }));
    const [first, second] = await fixture.reserve(plans, 500);
    const [other] = await fixture.reserve([{ taskId: 'hotels.g.3', kind: 'reprint' }], 500);
    runtime.findKindLimits = original;
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
  it('does not start a task whose row does not match the start order', async () => {
    const plans = wrongRows.map(({ name }) => ({
      taskId: `hotels.wrong.${name.replaceAll(' ', '-')}`,
    }));
    await fixture.reserve(plans);
    await Promise.all(plans.map((plan, index) => fixture.claim(plan, wrongRows[index]?.overrides)));
    await fixture.start(plans);
    await sleep(SETTLE_MS);
    for (const { taskId } of plans) {
      assert.deepEqual(fixture.events(taskId), [], taskId);
      assert.ok(!fixture.context.capacityReport.heldTasks.some((held) => held.taskId === taskId));
    }
  });

  it('does not start a task twice when the start order is repeated or arrives after the end', async () => {
    const plan = { taskId: 'hotels.b.1', parameters: { durationMs: '300' } };
    await fixture.reserve([plan]);
    await fixture.claim(plan);
    await Promise.all([fixture.start([plan]), fixture.start([plan]), fixture.start([plan])]);
    await waitUntil(
      async () => (await fixture.entry.readRow(plan.taskId)).state === TaskState.Completed,
    );
    await fixture.start([plan]);
    await sleep(SETTLE_MS);
    assert.deepEqual(fixture.events(plan.taskId), ['task-start', 'task-complete']);
  });

  it('ignores start orders for an earlier incarnation', async () => {
    const plan = { taskId: 'hotels.b.2' };
    await fixture.claim(plan);
    await fixture.start([plan], fixture.context.incarnation - 1);
    await sleep(SETTLE_MS);
    assert.deepEqual(fixture.events(plan.taskId), []);
  });

  it('admits no more than the capacity when several entries reserve at once', async () => {
    const plans = ['c.1', 'c.2', 'c.3'].map((name) => ({ taskId: `hotels.${name}`, size: LARGE }));
    const results = await Promise.all(plans.map((plan) => fixture.reserve([plan], 400)));
    assert.equal(results.flat().filter((refusal) => refusal === null).length, 1);
  });

  it('frees the capacity of a reservation that is not claimed in time', async () => {
    await waitUntil(() => fixture.context.capacityReport.free.processorMillicores === 16_000);
    assert.deepEqual(await fixture.reserve([{ taskId: 'hotels.c.4', size: LARGE }], 100), [null]);
    await waitUntil(async () => {
      const [refusal] = await fixture.reserve([{ taskId: 'hotels.c.5', size: LARGE }], 100);
      return refusal === null;
    });
  });

  it('returns a claimed task unstarted when its reservation expired and it no longer fits', async () => {
    await waitUntil(() => fixture.context.capacityReport.free.processorMillicores === 16_000);
    await fixture.run([{ taskId: 'hotels.d.1', size: LARGE }]);
    const late = { taskId: 'hotels.d.2', size: LARGE };
    await fixture.claim(late);
    await fixture.start([late]);
    const report = await waitUntil(() =>
      fixture.entry.reports.find(({ taskId }) => taskId === late.taskId),
    );
    assert.equal(report.kind, TaskReportKind.Evicted);
    assert.deepEqual(fixture.events(late.taskId), []);
  });

  it('reports an eviction with a checkpoint, and only after the worker stopped the task', async () => {
    const stop = {
      incarnation: fixture.context.incarnation,
      tasks: [{ taskId: 'hotels.d.1', attempt: 1 }],
      checkpoint: true,
      reason: 'test',
    };
    fixture.objectPlatform.faults.outage = true;
    await fixture.callAgent(RpcMethod.TaskStop, stop);
    await sleep(SETTLE_MS);
    assert.equal(fixture.worker.tasks.get('hotels.d.1')?.state, WorkerTaskState.Running);
    fixture.objectPlatform.faults.outage = false;
    await waitUntil(
      async () => (await fixture.entry.readRow('hotels.d.1')).state === TaskState.Pending,
    );
    const expected = ['task-start', 'task-checkpoint', 'task-stop'];
    assert.deepEqual(fixture.events('hotels.d.1'), expected);
    assert.match((await fixture.entry.readRow('hotels.d.1')).checkpointKey ?? '', /hotels\.d\.1/u);
  });

  it('stops a cancelled task without a report', async () => {
    await fixture.run([{ taskId: 'hotels.e.1', size: ONE_CORE }]);
    const { incarnation } = fixture.context;
    const tasks = [{ taskId: 'hotels.e.1', attempt: 1 }];
    await fixture.callAgent(RpcMethod.TaskStop, {
      incarnation,
      tasks,
      checkpoint: false,
      reason: 'test',
    });
    await waitUntil(() => !fixture.worker.tasks.has('hotels.e.1'));
    await sleep(SETTLE_MS);
    assert.ok(!fixture.entry.reports.some(({ taskId }) => taskId === 'hotels.e.1'));
  });
});
