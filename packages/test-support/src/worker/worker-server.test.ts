import assert from 'node:assert/strict';
import { after, before, beforeEach, test } from 'node:test';
import { HttpClient } from '@figjunction/http';
import type { HttpServer } from '@figjunction/http';
import { SystemClock, sleep } from '@figjunction/time';
import { TaskType, WorkerTaskState } from '@figjunction/types';
import type { WorkerStartParameters, WorkerTask } from '@figjunction/types';
import { createPlatformServer } from '../platform/platform-server.js';
import { hashBody } from './fake-target.js';
import type { TargetAnswer } from './fake-target.js';
import { createWorkerServer } from './worker-server.js';
import type { WorkerServer } from './worker-server.js';

const LONG_LEASE_MS = 60_000;
const clock = new SystemClock();
const client = new HttpClient();
let platformServer: HttpServer;
let workerServer: WorkerServer;
let address: string;
let nextTask = 0;
let taskId: string;

before(async () => {
  platformServer = createPlatformServer();
  workerServer = createWorkerServer({
    workerId: 'vm-1',
    capacity: { processorMillicores: 4_000, memoryMegabytes: 8_000, accelerators: 0 },
    platformAddress: await platformServer.listen(),
    faults: { usageLagMs: 0, serviceMedianMs: 1 },
  });
  address = await workerServer.server.listen();
});

after(async () => {
  client.close();
  workerServer.server.closeNow();
  platformServer.closeNow();
  await Promise.all([
    workerServer.server.close(),
    workerServer.worker.close(),
    platformServer.close(),
  ]);
});

beforeEach(() => {
  nextTask += 1;
  taskId = `task-${nextTask}`;
});

function startParameters(overrides: Partial<WorkerStartParameters> = {}): WorkerStartParameters {
  return {
    taskId,
    attempt: 1,
    incarnation: 1,
    type: TaskType.Batch,
    kind: 'reprint',
    size: { processorMillicores: 500, memoryMegabytes: 100, accelerators: 0 },
    leaseDeadlineHostMs: clock.now() + LONG_LEASE_MS,
    checkpointKey: null,
    parameters: { durationMs: '100' },
    ...overrides,
  };
}

function post<Result>(path: string, body: unknown): Promise<Result> {
  return client.json<Result>(`${address}${path}`, { method: 'POST', body });
}

async function find(): Promise<WorkerTask | undefined> {
  const { tasks } = await client.json<{ tasks: WorkerTask[] }>(`${address}/v1/tasks`);
  return tasks.find((task) => task.taskId === taskId);
}

async function waitForState(state: WorkerTaskState): Promise<WorkerTask> {
  for (let turn = 0; turn < 500; turn += 1) {
    const task = await find();
    if (task?.state === state) {
      return task;
    }
    await sleep(10);
  }
  throw new Error(`${taskId} did not become ${state}`);
}

test('a batch task completes by time', async () => {
  await post('/v1/tasks', startParameters());
  assert.equal((await waitForState(WorkerTaskState.Completed)).progress, 1);
});

test('a task id that runs is not started a second time', async () => {
  await post('/v1/tasks', startParameters({ parameters: { durationMs: '60000' } }));
  await assert.rejects(post('/v1/tasks', startParameters({ attempt: 2 })), /already runs/u);
});

test('a task is suspended at its lease deadline and resumes when the lease is extended', async () => {
  const leaseDeadlineHostMs = clock.now() + 50;
  await post('/v1/tasks', startParameters({ leaseDeadlineHostMs }));
  const suspended = await waitForState(WorkerTaskState.Suspended);
  assert.ok(suspended.progress < 1);
  await post('/v1/leases', {
    incarnation: 1,
    leaseDeadlineHostMs: clock.now() + LONG_LEASE_MS,
    tasks: [{ taskId, attempt: 1 }],
  });
  await waitForState(WorkerTaskState.Completed);
});

test('a checkpoint keeps the progress for the next attempt', async () => {
  await post('/v1/tasks', startParameters({ parameters: { durationMs: '400' } }));
  await sleep(200);
  const { progress } = await post<{ progress: number }>(`/v1/tasks/${taskId}/checkpoint`, {
    incarnation: 1,
    attempt: 1,
    checkpointKey: `checkpoints/${taskId}`,
  });
  await post(`/v1/tasks/${taskId}/stop`, { incarnation: 1, attempt: 1, graceful: false });
  assert.equal(await find(), undefined);
  const checkpointKey = `checkpoints/${taskId}`;
  const parameters = { durationMs: '400' };
  await post('/v1/tasks', startParameters({ attempt: 2, checkpointKey, parameters }));
  assert.ok(((await find())?.progress ?? 0) >= progress);
});

test('calls of an older incarnation are refused', async () => {
  await post('/v1/tasks', startParameters({ incarnation: 2 }));
  await assert.rejects(post('/v1/tasks', startParameters({ incarnation: 1 })), /older/u);
});

test('a target answers with the hash of the body it got, and the log shows the request', async () => {
  await post('/v1/tasks', startParameters({ type: TaskType.Instance, incarnation: 2 }));
  const { targetAddress } = await waitForState(WorkerTaskState.Running);
  const body = '{"dish":"soup"}';
  const answer = await client.request(targetAddress ?? '', { method: 'POST', body });
  const parsed = JSON.parse(answer.body.toString()) as TargetAnswer;
  assert.equal(parsed.bodyHash, hashBody(body));
  const events = workerServer.worker.log
    .page(0)
    .records.filter((record) => record.requestKey === hashBody(body))
    .map((record) => record.event);
  assert.deepEqual(events, ['request-begin', 'request-end']);
});

const ANSWER_FAULTS = [
  { name: 'hang', faults: { hangAnswers: 1 }, expected: /in time/u },
  { name: 'truncate', faults: { truncateAnswers: 1 }, expected: /failed|ended/u },
];

for (const { name, faults, expected } of ANSWER_FAULTS) {
  test(`a target's answer can ${name}`, async () => {
    await post('/v1/tasks', startParameters({ type: TaskType.Instance, incarnation: 2 }));
    const { targetAddress } = await waitForState(WorkerTaskState.Running);
    await post('/control/faults', faults);
    const options = { method: 'POST', body: 'x', timeoutMs: 200 };
    await assert.rejects(client.request(targetAddress ?? '', options), expected);
  });
}

test('true use over the capacity is recorded whatever the declared size says', async () => {
  const parameters = { durationMs: '200', trueSizeFactor: '20' };
  await post('/v1/tasks', startParameters({ incarnation: 2, parameters }));
  await sleep(50);
  const events = workerServer.worker.log.page(0).records.map((record) => record.event);
  assert.ok(events.includes('over-capacity' as never));
});
