/**
 * Connections between entries and agents go silent: bytes vanish and nothing closes, while new connections
 * work. First while attempts run, then while the connections wait in the pools of the entries.
 */
import assert from 'node:assert/strict';
import { waitUntil } from '@figjunction/test-support';
import type { Cluster } from '@figjunction/test-support';
import { RequestOutcome } from '@figjunction/types';
import { Callers, executionsOf, readExecutions, startRequestCluster } from './fixture.js';

const REQUESTS = 12;
const LONG_WORK_MS = 600;
const SHORT_WORK_MS = 100;
const TIMEOUT_MS = 10_000;

/** Section 7 of the design: without an answer for at most this long, an entry asks on a new connection. */
const SILENCE_BOUND_MS = 2_000;

/** For the question itself, and for a busy machine. */
const MARGIN_MS = 1_000;

const REGION = 'marmara';
const LOCATIONS = ['istanbul', 'bursa'].map((dataCentre) => ({
  region: REGION,
  dataCentre,
  rack: `${dataCentre}-1`,
}));

export async function checkSilentLinks(): Promise<void> {
  const cluster = await startRequestCluster({
    agents: LOCATIONS.length,
    entryLocations: LOCATIONS,
    agentLocations: LOCATIONS,
    withEntryRelays: true,
    withAgentRelays: true,
  });
  const callers = new Callers();
  try {
    await silenceAttempts(cluster, callers);
    await silencePools(cluster, callers);
    await checkOutcomes(cluster, callers);
    checkNobodyDropped(cluster);
  } finally {
    callers.close();
    await cluster.close();
  }
}

/** The answers of attempts that execute are lost: each entry must fetch them on a new connection. */
async function silenceAttempts(cluster: Cluster, callers: Callers): Promise<void> {
  const { bodies, answers } = sendAll(cluster, callers, LONG_WORK_MS);
  await waitUntil(() => allBegan(cluster, bodies), { what: 'the requests execute' });
  silence(cluster);
  const heldBefore = heldConnections(cluster);
  const silentSince = performance.now();
  assert.ok(heldBefore >= REQUESTS, 'the attempts did not use the connections that went silent');
  const told = await Promise.all(answers);
  await checkOutcomes(cluster, callers);
  assert.deepEqual(
    told.filter((outcome) => outcome !== RequestOutcome.Completed),
    [],
    `an answer was not fetched: ${callers.summary()}`,
  );
  checkBound(silentSince + LONG_WORK_MS, 'an answer was fetched');
  await waitUntil(() => heldConnections(cluster) <= heldBefore - REQUESTS, {
    what: 'the entries close the connections of these attempts',
    timeoutMs: SILENCE_BOUND_MS,
  });
}

/** Attempts vanish: each entry must learn that they never arrived, and send them on a new connection. */
async function silencePools(cluster: Cluster, callers: Callers): Promise<void> {
  // Opens as many connections at once as the requests after the silence need.
  await Promise.all(sendAll(cluster, callers, SHORT_WORK_MS).answers);
  silence(cluster);
  const heldBefore = heldConnections(cluster);
  const silentSince = performance.now();
  await Promise.all(sendAll(cluster, callers, SHORT_WORK_MS).answers);
  const replaced = heldBefore - heldConnections(cluster);
  assert.ok(replaced > 0, 'no silent connection was closed');
  // One bound for the first attempt, one for an attempt that took another silent connection of the pool.
  checkBound(silentSince + SILENCE_BOUND_MS, 'a request got its outcome');
}

function sendAll(cluster: Cluster, callers: Callers, workMs: number) {
  const bodies = Array.from({ length: REQUESTS }, () => callers.uniqueBody({ workMs }));
  const answers = bodies.map((body, index) =>
    callers.send({
      address: cluster.entries[index % cluster.entries.length]?.address ?? '',
      body,
      requestId: index % 4 === 0 ? `id-${JSON.parse(body).number}` : undefined,
      timeoutMs: TIMEOUT_MS,
    }),
  );
  return { bodies, answers };
}

function silence(cluster: Cluster): void {
  const { entries, agents } = cluster.relays;
  [...entries, ...agents].forEach((relay) => relay.silenceOpen());
}

/** Silent connections to agents that entries have not closed. */
function heldConnections(cluster: Cluster): number {
  return cluster.relays.agents.reduce((sum, relay) => sum + relay.heldSilentConnections, 0);
}

async function allBegan(cluster: Cluster, bodies: string[]): Promise<boolean> {
  const executions = await readExecutions(cluster);
  return bodies.every((body) => executionsOf(executions, body) > 0);
}

function checkBound(from: number, what: string): void {
  const lateMs = performance.now() - from;
  const allowedMs = SILENCE_BOUND_MS + MARGIN_MS;
  assert.ok(lateMs <= allowedMs, `${what} after ${Math.round(lateMs)} ms, over ${allowedMs} ms`);
}

async function checkOutcomes(cluster: Cluster, callers: Callers): Promise<void> {
  const executions = await readExecutions(cluster);
  for (const { body, told, codes } of callers.histories.values()) {
    const count = executionsOf(executions, body);
    const expected = told[0] === RequestOutcome.NotRun ? 0 : 1;
    const outcome = `${told.join()} ${codes.join()}`;
    assert.ok(told[0] !== null, `${body} got no outcome`);
    assert.ok(count <= 1, `${body} (${outcome}) ran ${count} times and is not idempotent`);
    if (told[0] !== RequestOutcome.Unknown) {
      assert.equal(count, expected, `${body} (${outcome}) ran ${count} times`);
    }
  }
}

/** Heartbeats must have moved to new connections before the agents counted as silent. */
function checkNobodyDropped(cluster: Cluster): void {
  const dropped = cluster.entries
    .flatMap(({ output }) => output)
    .filter((line) => line.includes('silent agent dropped'));
  assert.deepEqual(dropped, []);
}
