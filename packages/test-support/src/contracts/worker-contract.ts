/**
 * What every implementation of `Worker` has to do, as tests.
 */
import assert from 'node:assert/strict';
import { after, before, beforeEach, describe, test } from 'node:test';
import { ErrorCode, errorCodeOf } from '@figjunction/errors';
import { SystemClock } from '@figjunction/time';
import { TaskType, WorkerTaskState } from '@figjunction/types';
import type { WorkerStartParameters, WorkerTask } from '@figjunction/types';
import type { Worker } from '@figjunction/worker';
import type { FakePlatform } from '../platform/fake-platform.js';
import { createPlatformFaults } from '../platform/platform-faults.js';
import { waitUntil } from '../harness/wait-until.js';
import type { FakeWorker } from '../worker/fake-worker.js';

export interface WorkerFixture {
  worker: Worker;
  /** What is behind the interface, to inject faults. */
  fake: FakeWorker;
  platform: FakePlatform;
  close(): Promise<void>;
}

const LEASE_MS = 60_000;
const LONG_DURATION = { durationMs: '60000' };
const clock = new SystemClock();

/** A command that the worker has to refuse, and how. */
interface RefusalCase {
  name: string;
  code: ErrorCode;
  act(worker: Worker, taskId: string): Promise<unknown>;
}

const REFUSAL_CASES: RefusalCase[] = [
  {
    name: 'a second start of a task that runs',
    code: ErrorCode.Conflict,
    act: (worker, taskId) => worker.start(startParameters(taskId, { attempt: 2 })),
  },
  {
    name: 'a command of an older incarnation',
    code: ErrorCode.Conflict,
    act: (worker, taskId) => worker.stop(taskId, { incarnation: 4, attempt: 1, graceful: false }),
  },
  {
    name: 'a stop of another attempt',
    code: ErrorCode.Conflict,
    act: (worker, taskId) => worker.stop(taskId, { incarnation: 5, attempt: 2, graceful: false }),
  },
  {
    name: 'a throttle of a task that does not run',
    code: ErrorCode.NotFound,
    act: (worker) => worker.throttle('no-task', { incarnation: 5, attempt: 1, throttle: 0.5 }),
  },
];

function startParameters(
  taskId: string,
  overrides: Partial<WorkerStartParameters> = {},
): WorkerStartParameters {
  return {
    taskId,
    attempt: 1,
    incarnation: 5,
    type: TaskType.Batch,
    kind: 'reprint',
    size: { processorMillicores: 100, memoryMegabytes: 100, accelerators: 0 },
    leaseDeadlineHostMs: clock.now() + LEASE_MS,
    checkpointKey: null,
    parameters: LONG_DURATION,
    ...overrides,
  };
}

export function testWorkerContract(
  name: string,
  createFixture: () => Promise<WorkerFixture>,
): void {
  describe(`worker contract: ${name}`, () => {
    let fixture: WorkerFixture;
    let worker: Worker;
    let taskId = '';
    let turn = 0;

    before(async () => {
      fixture = await createFixture();
      ({ worker } = fixture);
    });

    beforeEach(() => {
      turn += 1;
      // An id with characters that a path has to escape.
      taskId = `job ${turn}/task`;
      Object.assign(fixture.platform.faults, createPlatformFaults());
    });

    after(() => fixture.close());

    function start(overrides: Partial<WorkerStartParameters> = {}): Promise<void> {
      return worker.start(startParameters(taskId, overrides));
    }

    async function find(): Promise<WorkerTask | undefined> {
      return (await worker.listTasks()).find((task) => task.taskId === taskId);
    }

    function waitForState(state: WorkerTaskState): Promise<WorkerTask> {
      return waitUntil(
        async () => {
          const task = await find();
          return task?.state === state ? task : null;
        },
        { what: `the task is ${state}` },
      );
    }

    test('it describes its capacity', async () => {
      const { workerId, capacity } = await worker.describe();
      assert.notEqual(workerId, '');
      assert.ok(capacity.processorMillicores > 0);
    });

    test('a started task is listed with its attempt and incarnation, and completes', async () => {
      await start({ parameters: { durationMs: '50' } });
      const task = await waitForState(WorkerTaskState.Completed);
      assert.equal(task.attempt, 1);
      assert.equal(task.incarnation, 5);
    });

    test('a task past its lease deadline is suspended and resumes with a new one', async () => {
      await start({ leaseDeadlineHostMs: clock.now() + 30 });
      await waitForState(WorkerTaskState.Suspended);
      await worker.extendLeases({
        incarnation: 5,
        leaseDeadlineHostMs: clock.now() + LEASE_MS,
        tasks: [{ taskId, attempt: 1 }],
      });
      await waitForState(WorkerTaskState.Running);
    });

    test('a lease for another attempt changes nothing', async () => {
      await start({ leaseDeadlineHostMs: clock.now() + 30 });
      await worker.extendLeases({
        incarnation: 5,
        leaseDeadlineHostMs: clock.now() + LEASE_MS,
        tasks: [{ taskId, attempt: 2 }],
      });
      await waitForState(WorkerTaskState.Suspended);
    });

    test('the next attempt goes on from the checkpoint', async () => {
      const checkpointKey = `checkpoints/${turn}/1`;
      const parameters = { durationMs: '10000' };
      await start({ parameters });
      await waitUntil(async () => ((await find())?.progress ?? 0) > 0);
      const command = { incarnation: 5, attempt: 1 };
      const { progress } = await worker.checkpoint(taskId, { ...command, checkpointKey });
      await worker.stop(taskId, { ...command, graceful: false });
      assert.equal(await find(), undefined);
      await start({ attempt: 2, checkpointKey, parameters });
      assert.ok(((await find())?.progress ?? 0) >= progress);
    });

    test('a checkpoint during an outage of the object store fails and the task goes on', async () => {
      await start();
      fixture.platform.faults.outage = true;
      const command = { incarnation: 5, attempt: 1, checkpointKey: 'checkpoints/none' };
      await assert.rejects(
        worker.checkpoint(taskId, command),
        (error) => errorCodeOf(error) === ErrorCode.Unavailable,
      );
      assert.equal((await find())?.state, WorkerTaskState.Running);
    });

    test('a stop of a task that is gone is no error', async () => {
      await worker.stop('gone', { incarnation: 5, attempt: 1, graceful: true });
    });

    test('a throttled task is listed with its share', async () => {
      await start();
      await worker.throttle(taskId, { incarnation: 5, attempt: 1, throttle: 0.25 });
      assert.equal((await find())?.throttle, 0.25);
    });

    test('an instance has the address of its target', async () => {
      await start({ type: TaskType.Instance, kind: 'labels' });
      assert.match((await find())?.targetAddress ?? '', /^http:\/\/127\.0\.0\.1:\d+$/u);
      await worker.stop(taskId, { incarnation: 5, attempt: 1, graceful: true });
      assert.equal(await find(), undefined);
    });

    test('usage tells what a task truly uses', async () => {
      await start({ parameters: { durationMs: '60000', trueSizeFactor: '5' } });
      const usage = await waitUntil(async () => {
        const { tasks } = await worker.readUsage();
        return tasks.find((task) => task.taskId === taskId);
      });
      assert.ok(usage.used.processorMillicores > 400);
    });

    REFUSAL_CASES.forEach(({ name: refused, code, act }) => {
      test(`${refused} is refused`, async () => {
        await start();
        await assert.rejects(act(worker, taskId), (error) => errorCodeOf(error) === code);
        assert.equal((await find())?.attempt, 1);
      });
    });
  });
}
