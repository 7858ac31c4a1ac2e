/**
 * Cases about processes that cannot see the table: one that starts in an outage, a late old message, and
 * processes that cannot confirm their revision.
 */
import assert from 'node:assert/strict';
import { RpcClient } from '@figjunction/rpc';
import { ExecutionEvent, TEST_SHARED_TOKEN, waitUntil } from '@figjunction/test-support';
import type { Cluster, ExecutionRecord } from '@figjunction/test-support';
import { sleep } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import {
  AGENTS,
  IN_FORCE_BOUND_MS,
  PROCESSES,
  TEAM,
  TEAM_TOKEN,
  apply,
  applyEverywhere,
  currentRevision,
  fileWith,
} from './fixture.js';
import type { ProofFixture } from './fixture.js';
import { requestLabels } from './label-requests.js';
import { LatePeer } from './late-peer.js';

/** Section 9: 6 s without a confirmation, and one poll that was already on its way. */
const PLACEMENT_BOUND_MS = 7_000;
const OBSERVED_MS = 6_000;
const SETTLE_MS = 400;
const TASKS = 6;
const TASK_DURATION_MS = 9_000;
const JOB_TIMEOUT_MS = 60_000;

/** A process that starts during an outage takes the newest revision of its peers, or says what it lacks. */
export async function startsDuringOutage(fixture: ProofFixture): Promise<void> {
  const { cluster, watch } = fixture;
  await cluster.entries[1]?.terminate();
  watch.forget('entry-2');
  const base = await currentRevision(cluster);
  assert.equal((await apply(cluster, 0, base, fileWith('newer'))).status, 200);
  await cluster.platformControl.setFaults({ outage: true });
  await cluster.startEntry(1);
  await waitUntil(async () => (await watch.read(1)).some((one) => isAt(one, 'entry-2', base + 1)), {
    what: 'the entry that started in the outage takes the revision of its peer',
  });
  await cluster.entries[0]?.terminate();
  await cluster.entries[1]?.terminate();
  watch.forget('entry-2');
  await cluster.startEntry(1);
  const health = await waitUntil(async () => {
    const answer = await cluster.entryClient(1).call('GET', '/healthz', '');
    return answer.status === 503 ? answer : null;
  });
  assert.match(health.body.toString(), /a configuration/u, 'it says what it waits for');
  await cluster.platformControl.setFaults({ outage: false });
  watch.forget('entry-1');
  await cluster.startEntry(0);
  await watch.waitForRevision(base + 1, PROCESSES, IN_FORCE_BOUND_MS);
}

function isAt(one: { name: string; revision: number }, name: string, revision: number): boolean {
  return one.name === name && one.revision === revision;
}

/** An old revision that arrives late, at entries and at agents, changes nothing. */
export async function ignoresLateMessages(fixture: ProofFixture): Promise<void> {
  const { cluster, watch } = fixture;
  const rpc = new RpcClient({ sharedToken: TEST_SHARED_TOKEN });
  const address = cluster.entries[0]?.address ?? '';
  const ask = (slice: boolean): ReturnType<typeof rpc.call<RpcMethod.ConfigurationGet>> =>
    rpc.call(address, RpcMethod.ConfigurationGet, { revision: 1, slice });
  const old = { body: await ask(false), slice: await ask(true) };
  rpc.close();
  const revision = await applyEverywhere(fixture, 'after the late message was sent');
  const peer = new LatePeer(address, old, revision + 1);
  await peer.start();
  await waitUntil(() => peer.bodiesSent > 0 && peer.slicesSent >= AGENTS, {
    what: 'the old revision was delivered to entries and agents',
  });
  await peer.stop();
  await sleep(SETTLE_MS);
  for (const one of await watch.read(0)) {
    assert.equal(one.revision, revision, `${one.name} must not take an old revision`);
  }
  await applyEverywhere(fixture, 'after the late message arrived');
}

/**
 * Nobody can read the configuration row, while everything else of the platform works: claims and starts
 * would succeed, and only the bound on confirmations holds them back.
 */
export async function placesNothingUnconfirmed(fixture: ProofFixture): Promise<void> {
  const { cluster, proxy, watch } = fixture;
  await submit(cluster);
  await waitUntil(async () => countTasks(await cluster.readExecutionLog()).started >= 1, {
    what: 'a run starts',
  });
  proxy.hidesConfiguration = true;
  await sleep(PLACEMENT_BOUND_MS);
  const before = countTasks(await cluster.readExecutionLog());
  const refused = await requestLabels(cluster, OBSERVED_MS);
  const after = countTasks(await cluster.readExecutionLog());
  const known = await watch.read(0);
  proxy.hidesConfiguration = false;
  assert.deepEqual(refused, [], 'requests go on without a confirmed revision');
  assert.ok(after.ended > before.ended, 'a run ended, so that the quota had room for another one');
  assert.equal(after.started, before.started, 'no run starts');
  assert.equal(known.length, PROCESSES, 'all processes are known');
  const confirmed = known.filter((one) => one.confirmed);
  assert.deepEqual(confirmed, [], 'no process claims to be confirmed');
  await waitUntil(async () => countTasks(await cluster.readExecutionLog()).ended >= TASKS, {
    what: 'all runs end once the revision is confirmed again',
    timeoutMs: JOB_TIMEOUT_MS,
  });
}

async function submit(cluster: Cluster): Promise<void> {
  const tasks = Array.from({ length: TASKS }, (_, index) => ({
    name: `menu-${index}`,
    parameters: { durationMs: String(TASK_DURATION_MS) },
  }));
  const job = { jobId: 'unconfirmed', team: TEAM, kind: 'menu', tasks };
  await cluster.entryClient(0).submit(job, TEAM_TOKEN);
}

function countTasks(log: ExecutionRecord[]): { started: number; ended: number } {
  const menus = log.filter(({ kind }) => kind === 'menu');
  return {
    started: menus.filter(({ event }) => event === ExecutionEvent.TaskStart).length,
    ended: menus.filter(({ event }) => event === ExecutionEvent.TaskComplete).length,
  };
}
