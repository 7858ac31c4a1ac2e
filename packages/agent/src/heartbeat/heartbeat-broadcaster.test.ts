/**
 * Guards against two failures: an agent that an entry does not know until the next heartbeat, and an agent
 * that loses its list of entries because a response omits it. A fake entry returns the responses that a test
 * sets.
 */
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { agentSettingsSchema } from '@figjunction/config';
import { HttpServer } from '@figjunction/http';
import { createLogger } from '@figjunction/logger';
import type { TableService } from '@figjunction/store';
import { createRpcRoute } from '@figjunction/rpc';
import { HeartbeatReception, NO_BASE, RpcMethod } from '@figjunction/types';
import type { HeartbeatParameters, HeartbeatResult, KnownEntry } from '@figjunction/types';
import type { Worker } from '@figjunction/worker';
import { createAgentContext } from '../agent-context.js';
import type { AgentContext } from '../agent-context.js';
import { HeartbeatBroadcaster } from './heartbeat-broadcaster.js';
import { EntryDiscovery } from './entry-discovery.js';
import { ConfigurationFetcher } from './configuration-fetcher.js';

const LOCATION = { region: 'marmara', dataCentre: 'istanbul', rack: 'r1' };
const SHARED_TOKEN = 'shared-token-of-the-test-cluster';
const VERSION = 'v1';

describe('HeartbeatBroadcaster', () => {
  const received: HeartbeatParameters[] = [];
  let receptions: HeartbeatReception[] = [];
  let address = '';
  let context: AgentContext;
  let broadcaster: HeartbeatBroadcaster;

  function handleHeartbeat(heartbeat: HeartbeatParameters): HeartbeatResult {
    received.push(heartbeat);
    const self: KnownEntry = { entryId: 'entry-1', address, location: LOCATION };
    const isCurrent = heartbeat.entriesVersion === VERSION;
    return {
      entryId: 'entry-1',
      reception: receptions.shift() ?? HeartbeatReception.Taken,
      revision: 0,
      confirmedForMs: 0,
      ...(isCurrent ? {} : { list: { version: VERSION, entries: [self] } }),
    };
  }

  const server = new HttpServer({
    routes: [
      createRpcRoute({
        sharedToken: SHARED_TOKEN,
        handlers: { [RpcMethod.AgentHeartbeat]: handleHeartbeat },
      }),
    ],
  });

  before(async () => {
    address = await server.listen();
    context = createAgentContext({
      settings: agentSettingsSchema.parse({
        agentId: 'vm-1',
        location: LOCATION,
        platformAddress: 'http://127.0.0.1:1',
        sharedToken: SHARED_TOKEN,
        workerAddress: 'http://127.0.0.1:1',
        entries: [address],
      }),
      logger: createLogger({ name: 'vm-1', level: 'silent' }),
      table: {} as TableService,
      worker: {} as Worker,
    });
    context.incarnation = 1;
    const discovery = new EntryDiscovery(context);
    discovery.refresh(context.clock.now());
    broadcaster = new HeartbeatBroadcaster(context, discovery, new ConfigurationFetcher(context));
  });

  after(async () => {
    context.rpc.close();
    server.closeNow();
    await server.close();
  });

  it('sends everything first, then only what changed', async () => {
    await broadcaster.broadcast();
    await broadcaster.broadcast();
    context.capacityReport.wantsWork = true;
    await broadcaster.broadcast();
    const sections = received.map((heartbeat) => Object.keys(heartbeat.sections));
    assert.deepEqual(sections, [['place', 'room', 'tasks', 'instances', 'usage'], [], ['room']]);
    assert.deepEqual(
      received.map(({ base }) => base),
      [NO_BASE, 1, 2],
    );
  });

  it('keeps the list of entries when a response omits it', () => {
    assert.equal(received[received.length - 1]?.entriesVersion, VERSION);
    assert.deepEqual(
      context.entries.all().map(({ entryId }) => entryId),
      ['entry-1'],
    );
  });

  it('sends a full heartbeat at once when the entry lacks the base', async () => {
    received.length = 0;
    receptions = [HeartbeatReception.NeedsFull, HeartbeatReception.Taken];
    await broadcaster.broadcast();
    assert.equal(received.length, 2);
    assert.notEqual(received[0]?.base, NO_BASE);
    assert.equal(received[1]?.base, NO_BASE);
    assert.equal(Object.keys(received[1].sections).length, 5);
  });

  it('sends at most one full heartbeat per broadcast to an entry that keeps requesting one', async () => {
    received.length = 0;
    receptions = [HeartbeatReception.NeedsFull, HeartbeatReception.NeedsFull];
    await broadcaster.broadcast();
    assert.equal(received.length, 2);
  });
});
