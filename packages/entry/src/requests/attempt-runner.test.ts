/**
 * Guards against attempts that are sent for a request whose caller has already gone.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { entrySettingsSchema, operatorConfigurationSchema } from '@figjunction/config';
import { createLogger } from '@figjunction/logger';
import type { ObjectStore, TableService } from '@figjunction/store';
import { SystemClock, sleep } from '@figjunction/time';
import { AgentState, RequestOutcome, RpcMethod } from '@figjunction/types';
import type { AgentReport } from '@figjunction/types';
import { createEntryContext } from '../entry-context.js';
import { AttemptRunner } from './attempt-runner.js';
import { InstanceStatsTable } from './instance-stats.js';
import type { InteractiveRequest } from './interactive-request.js';
import { RegionLink } from './region-link.js';
import { TargetSelector } from './target-selector.js';

const SERVICE = 'labels';
const HEDGE_DELAY_MS = 60;
/** The agent confirms a cancellation only after the hedge delay. */
const CANCEL_RESPONSE_MS = 150;
const DEADLINE_MS = 5_000;
const LOCATION = { region: 'marmara', dataCentre: 'istanbul', rack: 'r0' };
const NONE = { processorMillicores: 0, memoryMegabytes: 0, accelerators: 0 };

function createHeartbeat(agentId: string): AgentReport {
  const slots = { slots: 8, slotsUsed: 0, connections: 64, connectionsUsed: 0 };
  return {
    agentId,
    incarnation: 1,
    sequence: 1,
    state: AgentState.Serving,
    address: `http://${agentId}`,
    location: LOCATION,
    capacity: NONE,
    free: NONE,
    instances: [
      { taskId: `instance-${agentId}`, service: SERVICE, attempt: 1, ready: true, ...slots },
    ],
    tasks: [],
    usage: [],
    wantsWork: false,
    revision: 1,
    confirmed: true,
  };
}

/** Two agents whose attempts run until they are abandoned. */
function createFixture() {
  const context = createEntryContext({
    settings: entrySettingsSchema.parse({
      entryId: 'entry-1',
      location: LOCATION,
      platformAddress: 'http://127.0.0.1:1',
      sharedToken: 'shared-token-of-a-test',
    }),
    logger: createLogger({ name: 'test', level: 'silent' }),
    table: {} as TableService,
    objects: {} as ObjectStore,
    clock: new SystemClock(),
  });
  const configuration = operatorConfigurationSchema.parse({
    urgencyClasses: [{ name: 'interactive', rank: 0, guaranteedShare: 1 }],
    services: [
      { name: SERVICE, urgency: 'interactive', size: NONE, instances: 2, slotsPerInstance: 8 },
    ],
    teams: [{ name: 'kitchen', urgencies: ['interactive'] }],
  });
  context.configuration.accept({ revision: 1, bodyHash: '', body: '', configuration });
  ['vm-1', 'vm-2'].forEach((id) => context.agents.accept(createHeartbeat(id), context.clock.now()));
  const sentTo: string[] = [];
  context.rpc.call = (async (
    address: string,
    method: RpcMethod,
    parameters: object,
    { signal }: { signal?: AbortSignal },
  ) => {
    if (method === RpcMethod.AttemptRun) {
      sentTo.push(address);
      await sleep(DEADLINE_MS, signal);
    }
    await sleep(CANCEL_RESPONSE_MS);
    return { ...parameters, started: false, result: null };
  }) as typeof context.rpc.call;
  const stats = new InstanceStatsTable(context.clock);
  Array.from({ length: 100 }).forEach(() => stats.getServiceStats(SERVICE).record(HEDGE_DELAY_MS));
  const selector = new TargetSelector(context, stats, new RegionLink(context));
  const caller = new AbortController();
  const [service] = configuration.services;
  const [team] = configuration.teams;
  assert.ok(service !== undefined && team !== undefined);
  const now = context.clock.now();
  const request: InteractiveRequest = {
    requestId: 'request-1',
    isIdFromCaller: false,
    isIdempotent: true,
    service,
    team,
    urgency: 'interactive',
    arrivedAt: now,
    deadline: now + DEADLINE_MS,
    contentType: 'text/plain',
    body: Buffer.from('menu'),
    disconnectSignal: caller.signal,
  };
  return { runner: new AttemptRunner(context, stats, selector), request, caller, sentTo };
}

test('sends a second attempt while the caller waits for a slow first one', async () => {
  const { runner, request, caller, sentTo } = createFixture();
  const result = runner.run(request, new Set());
  await sleep(2 * HEDGE_DELAY_MS);
  caller.abort('ended');
  await result;
  assert.equal(sentTo.length, 2);
});

test('sends no second attempt after the caller has disconnected', async () => {
  const { runner, request, caller, sentTo } = createFixture();
  const result = runner.run(request, new Set());
  await sleep(HEDGE_DELAY_MS / 4);
  caller.abort('ended');
  assert.equal((await result).outcome, RequestOutcome.NotRun);
  assert.equal(sentTo.length, 1);
});
