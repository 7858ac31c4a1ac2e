import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { after, before, test } from 'node:test';
import { ExecutionEvent } from '../worker/execution-log.js';
import { hashBody } from '../worker/fake-target.js';
import type { TargetAnswer } from '../worker/fake-target.js';
import { waitUntil } from '../harness/wait-until.js';
import { startCluster } from './cluster.js';
import type { Cluster } from './cluster.js';

const TOKEN = 'token-of-team-hotel';
const CONFIGURATION = {
  urgencyClasses: [{ name: 'interactive', rank: 0, guaranteedShare: 1 }],
  services: [
    {
      name: 'labels',
      urgency: 'interactive',
      instances: 1,
      size: { processorMillicores: 1_000, memoryMegabytes: 512 },
    },
  ],
  teams: [
    {
      name: 'hotel',
      urgencies: ['interactive'],
      tokens: [{ sha256: createHash('sha256').update(TOKEN).digest('hex') }],
    },
  ],
};

let cluster: Cluster;

before(async () => {
  cluster = await startCluster({
    entries: 1,
    agents: 1,
    withPlatformRelays: true,
    withEntryRelays: true,
    withAgentRelays: true,
  });
});

after(() => cluster.close());

test('a cluster serves a request through its relays and stops gracefully', async () => {
  const revision = await cluster.apply(CONFIGURATION);
  await cluster.waitUntilInForce(revision);
  const body = '{"dish":"soup"}';
  const answer = await waitUntil(
    async () => {
      const one = await cluster.entryClient().request({ service: 'labels', body, token: TOKEN });
      return one.status === 200 ? one : null;
    },
    { what: 'a request completes' },
  );
  const { bodyHash } = JSON.parse(answer.body.toString()) as TargetAnswer;
  assert.equal(bodyHash, hashBody(body));
  const log = await cluster.readExecutionLog();
  assert.ok(log.some(({ event }) => event === ExecutionEvent.RequestEnd));
  assert.ok((cluster.platformRelays.get('marmara')?.bytesToTarget ?? 0) > 0);
  for (const relay of [...cluster.relays.entries, ...cluster.relays.agents]) {
    assert.ok(relay.bytesToTarget > 0, 'a process was not called at its advertised address');
  }
  await cluster.stopGracefully();
  const all = [...cluster.agents, ...cluster.entries, ...cluster.workers, cluster.platform];
  assert.ok(all.every((one) => !one.isRunning));
});

test('a configuration that is refused is reported at once', async () => {
  const own = await startCluster({ entries: 1, agents: 0 });
  try {
    await assert.rejects(own.apply({ urgencyClasses: [] }), /status 422/u);
  } finally {
    await own.close();
  }
});
