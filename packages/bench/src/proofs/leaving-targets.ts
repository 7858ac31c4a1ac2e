/**
 * Invariant 7: a target that announces its leave, crashes, freezes or is cut off from some entries gets no
 * new work from the entries that lost it after the bound. Requests and batch runs arrive all the time.
 */
import assert from 'node:assert/strict';
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { DEFAULT_LOCATIONS, ExecutionEvent, agentIdOf, waitUntil } from '@figjunction/test-support';
import type { Cluster, ClusterStatus, ExecutionRecord } from '@figjunction/test-support';
import { SystemClock, sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import { AgentState, RequestOutcome } from '@figjunction/types';
import { OPERATOR_TOKEN, OVERNIGHT_KIND } from '../measure/workload.js';
import { CUT_FILE_VARIABLE, CUT_PORT_VARIABLE } from './leaving/cut-connections.js';
import { RequestFeed } from './leaving/request-feed.js';
import { submitJob, withProofCluster } from './proof-cluster.js';
import type { Proof } from './proof.js';

const BOUND_MS = 5_000;
const OBSERVED_MS = 3_000;
const TEAM = 'hotels';
const ENTRIES = 3;
const AGENTS = 5;

/** Longer than lease and margin, so that the lease of the frozen agent is fenced meanwhile. */
const FROZEN_MS = 14_000;

enum Vm {
  Drained = 0,
  Crashed = 1,
  Frozen = 2,
  CutOff = 3,
}

const CUT_ENTRY = 0;

/**
 * All in one data centre: entries prefer the nearest instances, so with several data centres the place of
 * the instances would decide whether an entry sends anything to the VM that is cut off.
 */
const ONE_DATA_CENTRE = DEFAULT_LOCATIONS.slice(0, 1);
const SENT_TIMEOUT_MS = 20_000;

export const leavingTargetsProof: Proof = {
  number: 7,
  property: 'a target that leaves receives no new work after a few seconds',
  run: () =>
    withProofCluster(
      {
        cluster: {
          entries: ENTRIES,
          agents: AGENTS,
          entryLocations: ONE_DATA_CENTRE,
          agentLocations: ONE_DATA_CENTRE,
        },
        workload: { instances: AGENTS, teams: [TEAM] },
      },
      proveLeaving,
    ),
};

const clock = new SystemClock();

async function proveLeaving(cluster: Cluster): Promise<void> {
  const cut = await makeCuttable(cluster);
  await waitForInstances(cluster);
  const feed = new RequestFeed(cluster, TEAM);
  try {
    await proveDrain(cluster, feed);
    await proveCrash(cluster, feed);
    await proveFreeze(cluster, feed);
    await provePartialCut(cluster, feed, cut);
  } finally {
    await feed.stop();
  }
}

async function proveDrain(cluster: Cluster, feed: RequestFeed): Promise<void> {
  const agentId = agentIdOf(Vm.Drained);
  const drainPath = `/v1/vms/${agentId}/drain`;
  const answer = await cluster.entryClient(0).call('POST', drainPath, OPERATOR_TOKEN, {});
  assert.equal(answer.status, 200, answer.body.toString());
  await proveNoNewWork(cluster, feed, agentId);
}

async function proveCrash(cluster: Cluster, feed: RequestFeed): Promise<void> {
  await cluster.agents[Vm.Crashed]?.kill();
  await proveNoNewWork(cluster, feed, agentIdOf(Vm.Crashed));
}

async function proveFreeze(cluster: Cluster, feed: RequestFeed): Promise<void> {
  const agentId = agentIdOf(Vm.Frozen);
  const agent = cluster.agents[Vm.Frozen];
  const frozenAt = clock.now();
  agent?.pause();
  await proveNoNewWork(cluster, feed, agentId);
  await sleep(Math.max(0, frozenAt + FROZEN_MS - clock.now()));
  const resumedAt = clock.now();
  agent?.continue();
  // What was sent before the resumption still lies in the buffers of the connections.
  await waitUntil(() => isServing(cluster, 0, agentId), { what: 'the resumed agent serves again' });
  const afterwards = await startsOn(cluster, agentId, resumedAt);
  const stale = afterwards.filter(({ event, requestKey = '', incarnation }) =>
    event === ExecutionEvent.RequestBegin
      ? (feed.sent.get(requestKey)?.sentAt ?? 0) < resumedAt
      : incarnation < 2,
  );
  assert.deepEqual(stale, [], 'the resumed agent ran work from before');
}

async function provePartialCut(
  cluster: Cluster,
  feed: RequestFeed,
  cut: () => void,
): Promise<void> {
  const agentId = agentIdOf(Vm.CutOff);
  const cutAt = clock.now();
  cut();
  await sleep(BOUND_MS);
  await assertDropped(cluster, CUT_ENTRY, agentId);
  const observeUntil = clock.now() + OBSERVED_MS;
  await waitUntil(async () => (await entriesThatSent(cluster, feed, agentId, cutAt)).size > 0, {
    timeoutMs: SENT_TIMEOUT_MS,
    what: 'an entry that reaches the agent sends it a request',
  });
  await sleep(Math.max(0, observeUntil - clock.now()));
  const senders = await entriesThatSent(cluster, feed, agentId, cutAt);
  assert.ok(!senders.has(CUT_ENTRY), 'the entry that is cut off sent a request');
}

/** Entries whose requests began on the VM after the bound that follows the cut. */
async function entriesThatSent(
  cluster: Cluster,
  feed: RequestFeed,
  agentId: string,
  cutAt: Instant,
): Promise<Set<number | undefined>> {
  const begun = (await startsOn(cluster, agentId, cutAt + BOUND_MS)).filter(
    ({ event }) => event === ExecutionEvent.RequestBegin,
  );
  return new Set(begun.map(({ requestKey = '' }) => feed.sent.get(requestKey)?.entryIndex));
}

/** From the bound on, nothing begins on the VM, and callers do not notice that it is gone. */
async function proveNoNewWork(cluster: Cluster, feed: RequestFeed, agentId: string): Promise<void> {
  const leftAt = clock.now();
  await submitBatch(cluster, agentId);
  await sleep(BOUND_MS);
  await Promise.all(cluster.entries.map((_entry, index) => assertDropped(cluster, index, agentId)));
  await submitBatch(cluster, `${agentId}-late`);
  await sleep(OBSERVED_MS);
  const begun = await startsOn(cluster, agentId, leftAt + BOUND_MS);
  assert.deepEqual(begun, [], `${agentId} got work after the bound`);
  const failed = [...feed.sent.values()].filter(
    ({ sentAt, outcome }) =>
      sentAt > leftAt + BOUND_MS && outcome !== null && outcome !== RequestOutcome.Completed,
  );
  assert.deepEqual(failed, [], `requests failed after ${agentId} had left`);
}

async function submitBatch(cluster: Cluster, jobId: string): Promise<void> {
  const parameters = { durationMs: '300' };
  await submitJob(cluster, { jobId, team: TEAM, kind: OVERNIGHT_KIND, tasks: 40, parameters }, 1);
}

async function startsOn(
  cluster: Cluster,
  workerId: string,
  from: Instant,
): Promise<ExecutionRecord[]> {
  const starts = [ExecutionEvent.RequestBegin, ExecutionEvent.TaskStart];
  const records = await cluster.readExecutionLog();
  return records.filter(
    (record) =>
      record.workerId === workerId && record.atHostMs > from && starts.includes(record.event),
  );
}

async function stateOf(
  cluster: Cluster,
  entryIndex: number,
  agentId: string,
): Promise<ClusterStatus['agents'][number] | undefined> {
  const status = await cluster.entryClient(entryIndex).readStatus(OPERATOR_TOKEN);
  return status.agents.find((agent) => agent.agentId === agentId);
}

async function isServing(cluster: Cluster, entryIndex: number, agentId: string): Promise<boolean> {
  const agent = await stateOf(cluster, entryIndex, agentId);
  return agent?.state === AgentState.Serving && agent.instances.some(({ ready }) => ready);
}

async function assertDropped(cluster: Cluster, entryIndex: number, agentId: string): Promise<void> {
  const agent = await stateOf(cluster, entryIndex, agentId);
  const message = `entry ${entryIndex + 1} still counts on ${agentId}`;
  assert.ok(agent === undefined || agent.state === AgentState.Leaving, message);
}

async function waitForInstances(cluster: Cluster): Promise<void> {
  await waitUntil(
    async () => {
      const states = await Promise.all(
        cluster.entries.flatMap((_entry, entryIndex) =>
          cluster.agents.map((_agent, index) => isServing(cluster, entryIndex, agentIdOf(index))),
        ),
      );
      return states.every(Boolean);
    },
    { timeoutMs: 30_000, what: 'every entry knows an instance on every agent' },
  );
}

/** Restarts one agent so that its connections to one entry can be cut; returns what cuts them. */
async function makeCuttable(cluster: Cluster): Promise<() => void> {
  const agent = cluster.agents[Vm.CutOff];
  assert.ok(agent !== undefined);
  const file = path.join(cluster.harness.createFolder(), 'cut');
  const preload = new URL('./leaving/cut-connections.js', import.meta.url);
  await agent.terminate();
  cluster.agents[Vm.CutOff] = await cluster.harness.start({
    ...agent.specification,
    environment: {
      NODE_OPTIONS: `--import=${preload.href}`,
      [CUT_PORT_VARIABLE]: new URL(cluster.entries[CUT_ENTRY]?.address ?? '').port,
      [CUT_FILE_VARIABLE]: file,
    },
  });
  return () => writeFileSync(file, '');
}
