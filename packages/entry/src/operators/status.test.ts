/**
 * Checks the status for operators, draining and the health check for load balancers.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { HttpServer } from '@figjunction/http';
import { createRpcRoute } from '@figjunction/rpc';
import { AgentState, RpcMethod } from '@figjunction/types';
import type { AgentReport } from '@figjunction/types';
import { LOCATION, SHARED_TOKEN, TestEntry, fileWith } from './operators-fixture.test.js';

let entry: TestEntry;

beforeEach(async () => {
  entry = new TestEntry('entry-1');
  await entry.start();
});

afterEach(() => entry.stop());

function heartbeatOf(agentId: string, state: AgentState): AgentReport {
  const none = { processorMillicores: 0, memoryMegabytes: 0, accelerators: 0 };
  return {
    ...{ agentId, incarnation: 1, sequence: 1, state, address: '', location: LOCATION },
    ...{ capacity: none, free: none, instances: [], tasks: [], usage: [] },
    ...{ wantsWork: false, revision: 1, confirmed: true },
  };
}

test('drain reaches the agent, and status lists entries that do not respond', async () => {
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

test('status lists unreachable processes, but not those that stopped as planned', async () => {
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

test('the health check fails while the entry is not ready', async () => {
  entry.context.waitingFor.add('a configuration');
  const { status, body } = await entry.call('GET', '/healthz', null);
  assert.equal(status, 503);
  assert.deepEqual(body.waitingFor, ['a configuration']);
});
