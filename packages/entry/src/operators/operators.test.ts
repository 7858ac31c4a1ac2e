import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { CONFIGURATION_BYTES_MAXIMUM } from '@figjunction/config';
import { HttpServer } from '@figjunction/http';
import { createRpcRoute } from '@figjunction/rpc';
import {
  AgentState,
  DecisionKind,
  ExplainSubject,
  RpcMethod,
  proposalKey,
} from '@figjunction/types';
import type { DecisionRecord, AgentReport } from '@figjunction/types';
import { keyOfTaskId } from '../tasks/task-identifiers.js';
import { LOCATION, SHARED_TOKEN, TestEntry, fileWith, record } from './operators-fixture.test.js';

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
    fault: 'a body of another form',
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
    fault: 'a file that is not valid',
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
  const answer = await entry.call(method, path, token, body);
  assert.equal(answer.status, status, JSON.stringify(answer.body));
  assert.equal(typeof answer.body.message, 'string');
  assert.equal((await entry.call('GET', '/healthz', null)).status, 200);
  assert.equal(entry.context.configuration.revision(), 1);
}

for (const badCall of BAD_CALLS) {
  test(`answers ${badCall.fault} with ${badCall.status} and stays up`, () => checkBadCall(badCall));
}

test('a body that is cut short changes nothing', async () => {
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

function heartbeatOf(agentId: string, state: AgentState): AgentReport {
  const none = { processorMillicores: 0, memoryMegabytes: 0, accelerators: 0 };
  return {
    ...{ agentId, incarnation: 1, sequence: 1, state, address: '', location: LOCATION },
    ...{ capacity: none, free: none, instances: [], tasks: [], usage: [] },
    ...{ wantsWork: false, revision: 1, confirmed: true },
  };
}

test('explain joins the records of all entries and hides those of other teams', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  const peer = new TestEntry('entry-2');
  await peer.start();
  const silent = { entryId: 'entry-3', address: 'http://127.0.0.1:1', location: LOCATION };
  entry.context.peers.setLive([peer.context.peers.own(), silent]);
  entry.context.decisions.add(record({}));
  peer.context.decisions.add(
    record({ kind: DecisionKind.Admit, decidedAt: '2026-01-01T00:00:01.000Z' }),
  );
  const seen = await entry.call('GET', '/v1/explain/request/r-1', 'kitchen-token');
  const kinds = (seen.body.records as DecisionRecord[]).map(({ kind }) => kind);
  assert.deepEqual(kinds, ['route', 'admit']);
  assert.deepEqual(seen.body.unavailable, ['entry-3'], 'a gap must be visible');
  assert.equal((await entry.call('GET', '/v1/explain/request/r-1', 'school-token')).status, 404);
  await peer.stop();
});

test('explain of a run reads its row and asks the agents that failed it', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  const subjectId = 'kitchen.night.menu';
  const lastDecision = record({ subject: ExplainSubject.Run, subjectId });
  const value = { team: 'kitchen', lastDecision, holder: null, failedOn: ['vm-7'] };
  const writes = [{ key: keyOfTaskId(subjectId) ?? '', expectedVersion: 0, value }];
  await entry.context.table.transact({ checks: [], writes });
  const { body } = await entry.call('GET', `/v1/explain/run/${subjectId}`, 'kitchen-token');
  assert.deepEqual(body.records, [lastDecision]);
  assert.deepEqual(body.unavailable, ['vm-7']);
});

test('explain of a proposal reads the stored explanation, which outlives its entry', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  const explanation = record({ subject: ExplainSubject.Proposal, subjectId: 'p-1' });
  const value = { proposalId: 'p-1', state: 'open', agentId: 'vm-1', explanation };
  const writes = [{ key: proposalKey('p-1'), expectedVersion: 0, value }];
  await entry.context.table.transact({ checks: [], writes });
  const { body } = await entry.call('GET', '/v1/explain/proposal/p-1', 'operator-token');
  assert.deepEqual(body.records, [explanation]);
  const open = await entry.call('GET', '/v1/proposals', 'operator-token');
  assert.equal((open.body.proposals as unknown[]).length, 1);
});

test('drain reaches the agent, and status shows entries that do not answer', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  const drains: boolean[] = [];
  const handlers = {
    [RpcMethod.AgentDrain]: ({ drain }: { drain: boolean }) => {
      drains.push(drain);
      return {};
    },
  };
  const agent = new HttpServer({
    routes: [createRpcRoute({ sharedToken: SHARED_TOKEN, handlers })],
  });
  const heartbeat = { ...heartbeatOf('vm-1', AgentState.Serving), address: await agent.listen() };
  entry.context.agents.accept(heartbeat, entry.context.clock.now());
  await entry.call('POST', '/v1/vms/vm-1/drain', 'operator-token');
  await entry.call('DELETE', '/v1/vms/vm-1/drain', 'operator-token');
  assert.deepEqual(drains, [true, false]);
  entry.context.peers.setLive([
    { entryId: 'entry-2', address: 'http://127.0.0.1:1', location: LOCATION },
  ]);
  const { entries, agents } = (await entry.call('GET', '/v1/status', 'operator-token')).body as {
    entries: { entryId: string; revision: number | null }[];
    agents: { agentId: string; confirmed: boolean }[];
  };
  assert.deepEqual(
    entries.map(({ entryId, revision }) => [entryId, revision]),
    [
      ['entry-1', 1],
      ['entry-2', null],
    ],
  );
  assert.equal(agents[0]?.confirmed, true);
  agent.closeNow();
  await agent.close();
});

test('status names processes that fell silent, but not those that left as planned', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  const { agents, clock } = entry.context;
  const [system] = entry.systems;
  agents.accept(heartbeatOf('vm-1', AgentState.Serving), clock.now());
  agents.accept(heartbeatOf('vm-2', AgentState.Leaving), clock.now());
  await system?.run(clock.now());
  agents.remove('vm-1');
  agents.remove('vm-2');
  const { body } = await entry.call('GET', '/v1/status', 'operator-token');
  const names = (body.absent as { name: string }[]).map(({ name }) => name);
  assert.deepEqual(names, ['vm-1']);
});

test('a plan warns before a file locks its operator out', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  const plan = async (body: string): Promise<unknown> =>
    (await entry.call('POST', '/v1/configuration/plan', 'operator-token', { body })).body.warnings;
  assert.deepEqual(await plan(fileWith('b')), []);
  const locked = JSON.parse(fileWith('b')) as { operators: { tokens: { sha256: string }[] }[] };
  locked.operators[0]!.tokens[0]!.sha256 = 'f'.repeat(64);
  assert.equal(((await plan(JSON.stringify(locked))) as string[]).length, 1);
});

test('the check of the load balancer fails while the entry waits for something', async () => {
  entry.context.waitingFor.add('a configuration');
  const { status, body } = await entry.call('GET', '/healthz', null);
  assert.equal(status, 503);
  assert.deepEqual(body.waitingFor, ['a configuration']);
});
