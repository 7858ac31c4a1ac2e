import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { HttpClient } from '@figjunction/http';
import type { HttpServer } from '@figjunction/http';
import { FakePlatform } from './fake-platform.js';
import { createPlatformServer } from './platform-server.js';

const client = new HttpClient();
let server: HttpServer;
let address: string;
let platform: FakePlatform;

before(async () => {
  platform = new FakePlatform();
  server = createPlatformServer({ platform });
  address = await server.listen();
});

after(async () => {
  client.close();
  server.closeNow();
  await server.close();
});

function write(
  key: string,
  expectedVersion: number,
  value: unknown,
): Promise<{ versions: number[] }> {
  const body = { checks: [], writes: [{ key, expectedVersion, value }] };
  return client.json(`${address}/table/transact`, { method: 'POST', body });
}

async function statusOf(path: string, body: unknown): Promise<number> {
  const answer = await client.request(`${address}${path}`, {
    method: 'POST',
    body: JSON.stringify(body),
  });
  return answer.status;
}

test('a row that is deleted and written again never shows an old version', async () => {
  const first = await write('a/1', 0, { n: 1 });
  await write('a/1', first.versions[0] ?? 0, null);
  const second = await write('a/1', 0, { n: 1 });
  assert.ok((second.versions[0] ?? 0) > (first.versions[0] ?? 0));
});

test('a lost answer closes the connection after the write took effect', async () => {
  await client.json(`${address}/control/faults`, { method: 'POST', body: { loseAnswers: 1 } });
  await assert.rejects(write('b/1', 0, { n: 1 }));
  const { rows } = await client.json<{ rows: unknown[] }>(`${address}/table/read`, {
    method: 'POST',
    body: { keys: ['b/1'] },
  });
  assert.notEqual(rows[0], null);
});

test('the bytes of rows and objects that were read are counted as sent', async () => {
  await write('bytes/1', 0, { text: 'é' });
  await client.request(`${address}/objects/bytes`, { method: 'PUT', body: 'four' });
  platform.resetStats();
  const body = JSON.stringify({ keys: ['bytes/1'] });
  const answer = await client.request(`${address}/table/read`, { method: 'POST', body });
  await client.request(`${address}/objects/bytes`);
  assert.equal(platform.stats.tableBytesRead, answer.body.length);
  assert.equal(platform.stats.objectBytesRead, 4);
});

test('an outage refuses every call without effect', async () => {
  platform.faults.outage = true;
  assert.equal(await statusOf('/table/read', { keys: ['c/1'] }), 503);
  const writes = [{ key: 'c/1', expectedVersion: 0, value: { n: 1 } }];
  assert.equal(await statusOf('/table/transact', { checks: [], writes }), 503);
  platform.faults.outage = false;
  const call = await platform.read(['c/1']);
  assert.deepEqual(call.result, [null]);
});

test('an outage of the object store leaves the table and the objects as they are', async () => {
  await platform.putObject('o/1', Buffer.from('before'));
  platform.faults.objectOutage = true;
  const put = await client.request(`${address}/objects/o/1`, { method: 'PUT', body: 'during' });
  assert.equal(put.status, 503);
  assert.equal((await client.request(`${address}/objects/o/1`)).status, 503);
  assert.equal(await statusOf('/table/read', { keys: ['c/1'] }), 200);
  platform.faults.objectOutage = false;
  assert.equal(String((await platform.getObject('o/1')).result), 'before');
  assert.equal(platform.stats.objectsRefused, 2);
});

test('calls over the limit get 429 and are counted', async () => {
  const limited = new FakePlatform({ readsPerSecond: 4 });
  const endings = [];
  for (let call = 0; call < 3; call += 1) {
    endings.push((await limited.read(['x'])).ending);
  }
  assert.deepEqual(endings, ['answered', 'throttled', 'throttled']);
  assert.equal(limited.stats.throttled, 2);
});

test('the counters tell rows by the first part of their key', async () => {
  platform.resetStats();
  await write('tasks/01/x', 0, { n: 1 });
  const stats = await client.json<{ rowsWrittenByPrefix: Record<string, number> }>(
    `${address}/control/stats`,
  );
  assert.deepEqual(stats.rowsWrittenByPrefix, { tasks: 1 });
});
