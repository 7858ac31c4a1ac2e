/**
 * The cluster and the files that the cases of the proof share.
 */
import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import type { HttpAnswer } from '@figjunction/http';
import {
  Cluster,
  DEFAULT_LOCATIONS,
  TEST_SHARED_TOKEN,
  TcpRelay,
  completeOptions,
  waitUntil,
} from '@figjunction/test-support';
import { PlatformProxy } from './platform-proxy.js';
import { RevisionWatch } from './revision-watch.js';

const ENTRIES = 2;
export const AGENTS = 2;
export const PROCESSES = ENTRIES + AGENTS;

/** Invariant 9 allows 9 s. */
export const IN_FORCE_BOUND_MS = 9_000;

export const OPERATOR_TOKEN = 'operator-of-the-proof';
export const TEAM_TOKEN = 'team-of-the-proof';
export const TEAM = 'kitchen';
const RUNNING_TASKS_MAXIMUM = 2;

const SIZE = { processorMillicores: 1_000, memoryMegabytes: 1_024 };

function hashOf(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

/** Files with different notes differ in nothing else. */
export function fileWith(note: string): string {
  return JSON.stringify({
    urgencyClasses: [
      { name: 'now', rank: 0, guaranteedShare: 0.5 },
      { name: 'night', rank: 1, guaranteedShare: 0.3 },
    ],
    services: [{ name: 'label', urgency: 'now', instances: AGENTS, size: SIZE }],
    batchKinds: [{ name: 'menu', urgency: 'night', size: SIZE }],
    teams: [
      {
        name: TEAM,
        urgencies: ['now', 'night'],
        runningTasks: RUNNING_TASKS_MAXIMUM,
        tokens: [{ sha256: hashOf(TEAM_TOKEN) }],
      },
    ],
    operators: [{ name: 'ayse', tokens: [{ sha256: hashOf(OPERATOR_TOKEN), note }] }],
  });
}

export interface ProofFixture {
  cluster: Cluster;
  proxy: PlatformProxy;
  /** Between the second entry and the platform. */
  secondEntryRelay: TcpRelay;
  watch: RevisionWatch;
}

/** The first entry and the agents are in one region, the second entry is in another. */
const NEAR = DEFAULT_LOCATIONS.filter(({ region }) => region === 'marmara');
const FAR = DEFAULT_LOCATIONS.filter(({ region }) => region !== 'marmara');

export async function startFixture(): Promise<ProofFixture> {
  const entryLocations = [...NEAR.slice(0, 1), ...FAR.slice(0, 1)];
  const cluster = new Cluster(
    completeOptions({ entries: ENTRIES, agents: AGENTS, entryLocations, agentLocations: NEAR }),
  );
  const proxy = new PlatformProxy(() => cluster.platform.address);
  await proxy.listen();
  cluster.harness.onClose(() => proxy.close());
  const [, secondEntryRelay] = await Promise.all(
    entryLocations.map(({ region }) => placeRelay(cluster, proxy, region)),
  );
  assert.ok(secondEntryRelay !== undefined);
  await cluster.start();
  const watch = new RevisionWatch(cluster);
  const answer = await apply(cluster, 0, 0, fileWith('first'), TEST_SHARED_TOKEN);
  assert.equal(answer.status, 200, answer.body.toString());
  await watch.waitForRevision(1, PROCESSES, IN_FORCE_BOUND_MS);
  return { cluster, proxy, secondEntryRelay, watch };
}

/** Leads the processes of a region to the proxy. */
async function placeRelay(
  cluster: Cluster,
  proxy: PlatformProxy,
  region: string,
): Promise<TcpRelay> {
  const relay = new TcpRelay({ targetAddress: proxy.address });
  await relay.listen();
  cluster.platformRelays.set(region, relay);
  cluster.harness.onClose(() => relay.close());
  return relay;
}

export function apply(
  cluster: Cluster,
  entryIndex: number,
  baseRevision: number,
  body: string,
  token = OPERATOR_TOKEN,
): Promise<HttpAnswer> {
  const parameters = { baseRevision, body, fileName: 'proof.jsonc' };
  return cluster.entryClient(entryIndex).call('POST', '/v1/configuration', token, parameters);
}

export function parse<Value>(answer: HttpAnswer): Value {
  return JSON.parse(answer.body.toString('utf8')) as Value;
}

export async function currentRevision(cluster: Cluster, entryIndex = 0): Promise<number> {
  return cluster.entryClient(entryIndex).currentRevision(OPERATOR_TOKEN);
}

/** Applies a file on top of the current revision and waits until it is in force everywhere. */
export async function applyEverywhere(
  { cluster, watch }: ProofFixture,
  note: string,
): Promise<number> {
  const base = await waitUntil(() => currentRevision(cluster), { what: 'a revision is read' });
  const answer = await apply(cluster, 0, base, fileWith(note));
  assert.equal(answer.status, 200, answer.body.toString());
  await watch.waitForRevision(base + 1, PROCESSES, IN_FORCE_BOUND_MS);
  return base + 1;
}
