import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ErrorCode, errorCodeOf } from '@figjunction/errors';
import { HttpServer, sendJson } from '@figjunction/http';
import {
  FakePlatform,
  MemoryObjectStore,
  MemoryTableService,
  createPlatformServer,
  findFreePort,
  testObjectStoreContract,
  testTableServiceContract,
} from '@figjunction/test-support';
import { HttpObjectStore } from './http-object-store.js';
import { HttpTableService } from './http-table-service.js';

const WRITE = { checks: [], writes: [{ key: 'a', expectedVersion: 0, value: { n: 1 } }] };

async function startPlatform() {
  const platform = new FakePlatform();
  const server = createPlatformServer({ platform });
  const address = await server.listen();
  const close = (): Promise<void> => {
    server.closeNow();
    return server.close();
  };
  return { platform, address, close };
}

testTableServiceContract('in memory', () => {
  const table = new MemoryTableService();
  return Promise.resolve({ table, platform: table.platform, close: () => Promise.resolve() });
});

testTableServiceContract('over HTTP', async () => {
  const { platform, address, close } = await startPlatform();
  const table = new HttpTableService({ address });
  return {
    table,
    platform,
    close() {
      table.close();
      return close();
    },
  };
});

testObjectStoreContract('in memory', () => {
  const objects = new MemoryObjectStore();
  return Promise.resolve({ objects, platform: objects.platform, close: () => Promise.resolve() });
});

testObjectStoreContract('over HTTP', async () => {
  const { platform, address, close } = await startPlatform();
  const objects = new HttpObjectStore({ address });
  return {
    objects,
    platform,
    close() {
      objects.close();
      return close();
    },
  };
});

function hasCode(code: ErrorCode): (error: unknown) => boolean {
  return (error) => errorCodeOf(error) === code;
}

test('a write that times out has an unknown outcome, a read is unavailable', async () => {
  const { platform, address, close } = await startPlatform();
  const table = new HttpTableService({ address, timeoutMs: 50 });
  platform.faults.slowMs = 200;
  await assert.rejects(table.transact(WRITE), hasCode(ErrorCode.OutcomeUnknown));
  await assert.rejects(table.read(['a']), hasCode(ErrorCode.Unavailable));
  table.close();
  await close();
});

// A write whose response is lost must not be reported as rejected; the table and object store share this code.
test('an object write that times out has an unknown outcome, a read is unavailable', async () => {
  const { platform, address, close } = await startPlatform();
  const objects = new HttpObjectStore({ address, timeoutMs: 50 });
  platform.faults.slowMs = 200;
  await assert.rejects(objects.put('a', Buffer.from('1')), hasCode(ErrorCode.OutcomeUnknown));
  await assert.rejects(objects.remove('a'), hasCode(ErrorCode.OutcomeUnknown));
  await assert.rejects(objects.get('a'), hasCode(ErrorCode.Unavailable));
  objects.close();
  await close();
});

test('a write to an address without a listener had no effect', async () => {
  const address = `http://127.0.0.1:${await findFreePort()}`;
  const table = new HttpTableService({ address });
  await assert.rejects(table.transact(WRITE), hasCode(ErrorCode.Unavailable));
  table.close();
});

const ERROR_RESPONSES = [
  { name: 'malformed JSON', status: 200, body: '{"versions": [', code: ErrorCode.OutcomeUnknown },
  { name: 'an internal error', status: 500, body: '{}', code: ErrorCode.OutcomeUnknown },
  { name: 'a gateway timeout', status: 504, body: '{}', code: ErrorCode.OutcomeUnknown },
  { name: 'a rejection', status: 400, body: '{}', code: ErrorCode.InvalidInput },
];

for (const { name, status, body, code } of ERROR_RESPONSES) {
  test(`${name} in response to a write gives ${code}`, async () => {
    const server = new HttpServer({
      routes: [
        {
          method: 'POST',
          pattern: /^\/table\/transact$/u,
          handle({ response }) {
            if (status === 200) {
              response.writeHead(status).end(body);
            } else {
              sendJson(response, status, JSON.parse(body));
            }
            return Promise.resolve();
          },
        },
      ],
    });
    const table = new HttpTableService({ address: await server.listen() });
    await assert.rejects(table.transact(WRITE), hasCode(code));
    table.close();
    server.closeNow();
    await server.close();
  });
}
