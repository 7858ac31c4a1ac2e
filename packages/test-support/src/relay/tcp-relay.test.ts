import assert from 'node:assert/strict';
import { get as httpGet } from 'node:http';
import { after, before, beforeEach, test } from 'node:test';
import { HttpClient, HttpServer, sendJson } from '@figjunction/http';
import { waitUntil } from '../harness/wait-until.js';
import { TcpRelay } from './tcp-relay.js';

let server: HttpServer;
let relay: TcpRelay;
let client: HttpClient;
let received: string[] = [];

before(async () => {
  server = new HttpServer({
    routes: [
      {
        method: 'GET',
        pattern: /^\/(?<name>\w+)$/u,
        handle(match) {
          received.push(match.parameters.name ?? '');
          sendJson(match.response, 200, match.parameters);
          return Promise.resolve();
        },
      },
    ],
  });
  relay = new TcpRelay({ targetAddress: await server.listen() });
  await relay.listen();
});

beforeEach(() => {
  client?.close();
  client = new HttpClient();
  received = [];
  relay.restore();
});

after(async () => {
  client.close();
  await relay.close();
  server.closeNow();
  await server.close();
});

function get(name: string, timeoutMs = 2_000, newConnection = false): Promise<unknown> {
  return client.json(`${relay.address}/${name}`, { timeoutMs, newConnection });
}

test('forwards both ways and counts bytes', async () => {
  const bytesBefore = relay.bytesFromTarget;
  assert.deepEqual(await get('a'), { name: 'a' });
  assert.ok(relay.bytesFromTarget > bytesBefore);
});

test('a cut closes connections and refuses new ones until it is restored', async () => {
  await get('a');
  relay.cut();
  await assert.rejects(get('b'));
  relay.restore();
  assert.deepEqual(await get('c'), { name: 'c' });
});

test('silenced connections swallow requests while new connections work', async () => {
  await get('a');
  relay.silenceOpen();
  await assert.rejects(get('b', 100), /in time/u);
  assert.deepEqual(await get('c', 2_000, true), { name: 'c' });
  assert.deepEqual(received, ['a', 'c']);
});

test('a relay that silences everything lets nothing through', async () => {
  relay.silenceAll();
  await assert.rejects(get('a', 100, true), /in time/u);
  assert.deepEqual(received, []);
});

function getFrom(localAddress: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const options = { localAddress, agent: false as const, timeout: 200 };
    const request = httpGet(`${relay.address}/a`, options, (answer) => {
      answer.resume();
      resolve(answer.statusCode ?? 0);
    });
    request.on('timeout', () => request.destroy(new Error('no answer in time')));
    request.on('error', reject);
  });
}

test('only callers from one address are silenced, until the relay is restored', async () => {
  relay.silenceFrom('127.0.1.2');
  await assert.rejects(getFrom('127.0.1.2'), /in time/u);
  assert.equal(await getFrom('127.0.1.1'), 200);
  relay.restore();
  assert.equal(await getFrom('127.0.1.2'), 200);
});

test('a silent connection counts as held until its caller closes it', async () => {
  await get('a');
  relay.silenceOpen();
  assert.ok(relay.heldSilentConnections > 0);
  client.close();
  await waitUntil(() => relay.heldSilentConnections === 0, { what: 'the caller has gone' });
});

test('a delay holds bytes back without losing their order', async () => {
  relay.delay(60);
  const began = performance.now();
  assert.deepEqual(await get('a'), { name: 'a' });
  assert.ok(performance.now() - began >= 100);
});

test('answers on several connections arrive in another order', async () => {
  relay.reorderAnswers(0, 100);
  const arrived: string[] = [];
  const names = Array.from({ length: 12 }, (_value, index) => `r${index}`);
  await Promise.all(names.map((name) => get(name, 5_000, true).then(() => arrived.push(name))));
  assert.notDeepEqual(arrived, names);
  assert.deepEqual([...arrived].sort(), [...names].sort());
});
