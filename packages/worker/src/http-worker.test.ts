/**
 * Guards against reporting a command as not executed although the worker may have executed it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ErrorCode, errorCodeOf } from '@figjunction/errors';
import {
  FakePlatform,
  createPlatformServer,
  createWorkerServer,
  findFreePort,
  testWorkerContract,
} from '@figjunction/test-support';
import { HttpWorker } from './http-worker.js';

const CAPACITY = { processorMillicores: 16_000, memoryMegabytes: 60_000, accelerators: 0 };

async function createFixture() {
  const platform = new FakePlatform();
  const platformServer = createPlatformServer({ platform });
  const { worker: fake, server } = createWorkerServer({
    workerId: 'vm-1',
    capacity: CAPACITY,
    platformAddress: await platformServer.listen(),
    faults: { usageLagMs: 0 },
  });
  const worker = new HttpWorker({ address: await server.listen(), timeoutMs: 1_000 });
  const close = async (): Promise<void> => {
    worker.close();
    server.closeNow();
    platformServer.closeNow();
    await Promise.all([server.close(), fake.close(), platformServer.close()]);
  };
  return { worker, fake, platform, close };
}

testWorkerContract('over HTTP', createFixture);

function hasCode(code: ErrorCode): (error: unknown) => boolean {
  return (error) => errorCodeOf(error) === code;
}

test('without a response, the outcome of a command is unknown and a read is unavailable', async () => {
  const { worker, fake, close } = await createFixture();
  fake.faults.callDelayMs = 2_000;
  const command = { incarnation: 1, attempt: 1, throttle: 1 };
  await Promise.all([
    assert.rejects(worker.throttle('a', command), hasCode(ErrorCode.OutcomeUnknown)),
    assert.rejects(worker.listTasks(), hasCode(ErrorCode.Unavailable)),
  ]);
  await close();
});

test('a command that could not connect to the worker is reported as not executed', async () => {
  const worker = new HttpWorker({ address: `http://127.0.0.1:${await findFreePort()}` });
  const command = { incarnation: 1, attempt: 1, throttle: 1 };
  await assert.rejects(worker.throttle('a', command), hasCode(ErrorCode.Unavailable));
  worker.close();
});
