import assert from 'node:assert/strict';
import { test } from 'node:test';
import { entrySettingsSchema, operatorConfigurationSchema } from '@figjunction/config';
import { createLogger } from '@figjunction/logger';
import type { ObjectStore, TableService } from '@figjunction/store';
import { ManualClock } from '@figjunction/time';
import { AgentState, ExplainSubject } from '@figjunction/types';
import type { AgentReport } from '@figjunction/types';
import { createEntryContext } from '../entry-context.js';
import { InstanceStatsTable } from './instance-stats.js';
import { RegionLink } from './region-link.js';
import { TargetSelector } from './target-selector.js';

const CAP_BYTES = 10_000;
const FAR_ADDRESS = 'http://127.0.0.1:2';
const NONE = { processorMillicores: 0, memoryMegabytes: 0, accelerators: 0 };

function heartbeat(agentId: string, region: string, address: string): AgentReport {
  return {
    agentId,
    incarnation: 1,
    sequence: 1,
    state: AgentState.Serving,
    address,
    location: { region, dataCentre: `${region}-1`, rack: `${region}-1-1` },
    capacity: NONE,
    free: NONE,
    instances: [
      {
        taskId: `instance-${agentId}`,
        service: 'labels',
        attempt: 1,
        slots: 8,
        slotsUsed: 0,
        connections: 64,
        connectionsUsed: 0,
        ready: true,
      },
    ],
    tasks: [],
    usage: [],
    wantsWork: false,
    revision: 1,
    confirmed: true,
  };
}

function createFixture() {
  const clock = new ManualClock(1_000);
  const context = createEntryContext({
    settings: entrySettingsSchema.parse({
      entryId: 'entry-1',
      location: { region: 'marmara', dataCentre: 'marmara-1', rack: 'marmara-1-1' },
      platformAddress: 'http://127.0.0.1:1',
      sharedToken: 'shared-token-of-a-test',
    }),
    logger: createLogger({ name: 'test', level: 'silent' }),
    table: {} as TableService,
    objects: {} as ObjectStore,
    clock,
  });
  const configuration = operatorConfigurationSchema.parse({
    urgencyClasses: [{ name: 'interactive', rank: 0, guaranteedShare: 1 }],
    interRegionBytesPerSecond: CAP_BYTES,
  });
  context.configuration.accept({ revision: 1, bodyHash: '', body: '', configuration });
  const stats = new InstanceStatsTable(clock);
  const selector = new TargetSelector(context, stats, new RegionLink(context));
  const choose = (deadlineMs = 1_000, bodyBytes = 100): string | null =>
    selector.choose({
      requestId: 'request-1',
      team: 'kitchen',
      service: 'labels',
      deadline: clock.now() + deadlineMs,
      bodyBytes,
      avoidedTaskIds: new Set(),
    })?.agent.agentId ?? null;
  context.agents.accept(heartbeat('far', 'ege', FAR_ADDRESS), clock.now());
  return { clock, context, stats, selector, choose };
}

test('another region is used only if the deadline permits it', () => {
  const { choose } = createFixture();
  assert.equal(choose(1_000), 'far');
  assert.equal(choose(20), null);
});

// Guards against requests that saturate the link between regions.
test('another region is not used while the byte limit of the link is exhausted', () => {
  const { choose, context, clock } = createFixture();
  assert.equal(choose(), 'far');
  context.rpc.onTraffic(FAR_ADDRESS, CAP_BYTES, CAP_BYTES);
  assert.equal(choose(), null);
  clock.advance(1_500);
  assert.equal(choose(), 'far');
  assert.equal(choose(1_000, CAP_BYTES), null);
});

test('an ended incarnation gets no requests until the next one sends a heartbeat', () => {
  const { choose, context, clock, selector } = createFixture();
  selector.markIncarnationEnded({ agentId: 'far', incarnation: 1, address: FAR_ADDRESS });
  assert.equal(choose(), null);
  context.agents.accept({ ...heartbeat('far', 'ege', FAR_ADDRESS), incarnation: 2 }, clock.now());
  assert.equal(choose(), 'far');
});

test('the decision record of a choice lists the rejected alternatives', () => {
  const { choose, context, clock } = createFixture();
  context.agents.accept(heartbeat('near', 'marmara', 'http://127.0.0.1:3'), clock.now());
  assert.equal(choose(), 'near');
  const [record] = context.decisions.find(ExplainSubject.Request, 'request-1');
  assert.match(record?.decision ?? '', /instance-near on near/u);
  assert.deepEqual(
    record?.rejected.map(({ reason }) => reason),
    ['farther away'],
  );
});
