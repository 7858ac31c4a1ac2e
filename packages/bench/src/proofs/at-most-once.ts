/**
 * Invariant 6: a non-idempotent request runs at most once, although callers repeat it through both entries
 * while entries and agents are killed, restarted and paused, connections break and table answers are lost.
 */
import assert from 'node:assert/strict';
import { TcpRelay } from '@figjunction/test-support';
import type { Cluster } from '@figjunction/test-support';
import { sleep } from '@figjunction/time';
import { RequestOutcome } from '@figjunction/types';
import type { Proof } from './proof.js';
import {
  Callers,
  executionsOf,
  readExecutions,
  repeatFor,
  startRequestCluster,
} from './requests/fixture.js';

const LOAD_MS = 12_000;
const WORKERS = 24;
const REPEATS = 3;
const WORK_MS = 40;
const STEP_MS = 700;
const TIMEOUT_MS = 1_500;
const COMPLETED_MINIMUM = 200;

/** Longer than a lease, so that a paused agent continues after others gave it up. */
const LONG_PAUSE_MS = 4_500;

/** Longer than any attempt may still travel. */
const SETTLE_MS = 2_500;

async function disturb(cluster: Cluster, relays: TcpRelay[]): Promise<void> {
  const platform = cluster.platformControl;
  await sleep(STEP_MS);
  cluster.agents[2]?.pause();
  const resumed = sleep(LONG_PAUSE_MS).then(() => cluster.agents[2]?.continue());
  await platform.setFaults({ loseAnswers: 10 });
  await sleep(STEP_MS);
  // Callers stay connected, so that the entries themselves decide about the attempts that broke.
  await cluster.agents[1]?.kill();
  await sleep(STEP_MS);
  relays.forEach((relay) => relay.reset());
  await sleep(STEP_MS);
  await Promise.all([cluster.startAgent(1), cluster.entries[0]?.kill()]);
  await sleep(STEP_MS);
  await cluster.startEntry(0);
  await platform.setFaults({ loseAnswers: 10 });
  cluster.entries[1]?.pause();
  await sleep(STEP_MS);
  cluster.entries[1]?.continue();
  relays.forEach((relay) => relay.reset());
  await sleep(STEP_MS);
  cluster.agents[0]?.pause();
  await sleep(STEP_MS);
  cluster.agents[0]?.continue();
  await resumed;
}

async function run(): Promise<void> {
  const cluster = await startRequestCluster();
  const callers = new Callers();
  try {
    const relays = cluster.entries.map((entry) => new TcpRelay({ targetAddress: entry.address }));
    for (const relay of relays) {
      await relay.listen();
      cluster.harness.onClose(() => relay.close());
    }
    const sent = repeatFor(WORKERS, LOAD_MS, (worker) => callAndRepeat(callers, relays, worker));
    await Promise.all([sent, disturb(cluster, relays)]);
    await sleep(SETTLE_MS);
    await check(cluster, callers);
  } finally {
    callers.close();
    await cluster.close();
  }
}

/** With an id the request is repeated through both entries, at once or after the first answer. */
async function callAndRepeat(callers: Callers, relays: TcpRelay[], worker: number): Promise<void> {
  const body = callers.uniqueBody({ workMs: WORK_MS });
  const address = (repeat: number): string => relays[(worker + repeat) % 2]?.address ?? '';
  if (worker % 3 === 0) {
    await callers.send({ address: address(0), body, timeoutMs: TIMEOUT_MS });
    return;
  }
  const requestId = `id-${JSON.parse(body).number}`;
  const send = (repeat: number) =>
    callers.send({ address: address(repeat), body, requestId, timeoutMs: TIMEOUT_MS });
  if (worker % 3 === 1) {
    await Promise.all(Array.from({ length: REPEATS }, (_one, repeat) => send(repeat)));
    return;
  }
  for (let repeat = 0; repeat < REPEATS; repeat += 1) {
    await send(repeat);
  }
}

async function check(cluster: Cluster, callers: Callers): Promise<void> {
  const executions = await readExecutions(cluster);
  for (const { body, told, answers } of callers.histories.values()) {
    const count = executionsOf(executions, body);
    assert.ok(count <= 1, `${body} ran ${count} times; callers were told ${told.join(', ')}`);
    assert.ok(new Set(answers).size <= 1, `${body} got different answers`);
  }
  const summary = callers.summary();
  const completed = callers.countTold(RequestOutcome.Completed);
  assert.ok(completed >= COMPLETED_MINIMUM, `too few completed: ${summary}`);
  const disturbed = callers.countTold(RequestOutcome.Unknown) + callers.countTold(null);
  assert.ok(disturbed > 0, `no fault reached a request: ${summary}`);
}

export const atMostOnceProof: Proof = {
  number: 6,
  property: 'A request marked non-idempotent runs at most once',
  run,
};
