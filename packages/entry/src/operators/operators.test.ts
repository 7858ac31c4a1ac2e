import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { CONFIGURATION_BYTES_MAXIMUM } from '@figjunction/config';
import { SHARED_TOKEN, TestEntry, fileWith } from './operators-fixture.test.js';

let entry: TestEntry;

beforeEach(async () => {
  entry = new TestEntry('entry-1');
  await entry.start();
});

afterEach(() => entry.stop());

interface BadCall {
  fault: string;
  method: string;
  path: string;
  token: string | null;
  body?: unknown;
  status: number;
}

const BAD_CALLS: BadCall[] = [
  { fault: 'no token', method: 'GET', path: '/v1/status', token: null, status: 401 },
  { fault: 'an unknown token', method: 'GET', path: '/v1/status', token: 'guess', status: 401 },
  {
    fault: 'a token of a team',
    method: 'GET',
    path: '/v1/proposals',
    token: 'kitchen-token',
    status: 403,
  },
  { fault: 'metrics without a token', method: 'GET', path: '/metrics', token: null, status: 401 },
  {
    fault: 'an unknown VM',
    method: 'POST',
    path: '/v1/vms/vm-9/drain',
    token: 'operator-token',
    status: 404,
  },
  {
    fault: 'an unknown subject',
    method: 'GET',
    path: '/v1/explain/cow/1',
    token: 'operator-token',
    status: 404,
  },
  {
    fault: 'an unknown request',
    method: 'GET',
    path: '/v1/explain/request/r-9',
    token: 'operator-token',
    status: 404,
  },
  {
    fault: 'a malformed escape',
    method: 'GET',
    path: '/v1/explain/run/%E0%A4%A',
    token: 'operator-token',
    status: 400,
  },
  {
    fault: 'a body of the wrong type',
    method: 'POST',
    path: '/v1/configuration',
    token: 'operator-token',
    body: [1],
    status: 400,
  },
  {
    fault: 'an unknown field',
    method: 'POST',
    path: '/v1/configuration/plan',
    token: 'operator-token',
    body: { body: '{}', force: true },
    status: 400,
  },
  {
    fault: 'a negative revision',
    method: 'POST',
    path: '/v1/configuration',
    token: 'operator-token',
    body: { body: '{}', baseRevision: -1 },
    status: 400,
  },
  {
    fault: 'an invalid file',
    method: 'POST',
    path: '/v1/configuration',
    token: 'operator-token',
    body: { body: '{}', baseRevision: 1 },
    status: 422,
  },
  {
    fault: 'a body over the limit',
    method: 'POST',
    path: '/v1/configuration',
    token: 'operator-token',
    body: { body: 'x'.repeat(3 * CONFIGURATION_BYTES_MAXIMUM) },
    status: 413,
  },
];

async function checkBadCall({ method, path, token, body, status }: BadCall): Promise<void> {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  const response = await entry.call(method, path, token, body);
  assert.equal(response.status, status, JSON.stringify(response.body));
  assert.equal(typeof response.body.message, 'string');
  assert.equal((await entry.call('GET', '/healthz', null)).status, 200);
  assert.equal(entry.context.configuration.revision(), 1);
}

for (const badCall of BAD_CALLS) {
  test(`responds to ${badCall.fault} with ${badCall.status} and stays up`, () =>
    checkBadCall(badCall));
}

test('a truncated body changes nothing', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  const { port } = new URL(entry.address);
  const socket = connect(Number(port), '127.0.0.1');
  socket.write(
    'POST /v1/configuration HTTP/1.1\r\nhost: x\r\nauthorization: Bearer operator-token\r\n',
  );
  socket.end('content-length: 500\r\n\r\n{"baseRevision":1,"body":"');
  await new Promise((resolve) => {
    socket.on('close', resolve).resume();
  });
  assert.equal(entry.context.configuration.revision(), 1);
  assert.equal((await entry.call('GET', '/healthz', null)).status, 200);
});

test('a plan warns about a file that revokes the token of its operator', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  const plan = async (body: string): Promise<unknown> =>
    (await entry.call('POST', '/v1/configuration/plan', 'operator-token', { body })).body.warnings;
  assert.deepEqual(await plan(fileWith('b')), []);
  const locked = JSON.parse(fileWith('b')) as { operators: { tokens: { sha256: string }[] }[] };
  locked.operators[0]!.tokens[0]!.sha256 = 'f'.repeat(64);
  assert.equal(((await plan(JSON.stringify(locked))) as string[]).length, 1);
});
