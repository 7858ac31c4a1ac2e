/**
 * Invariant 4: callers get the complete answers to their own requests, while targets truncate, withhold
 * and repeat answers, agents stop answering for a while, and answers overtake each other.
 */
import assert from 'node:assert/strict';
import { TcpRelay, hashBody } from '@figjunction/test-support';
import type { Cluster } from '@figjunction/test-support';
import { sleep } from '@figjunction/time';
import { RequestOutcome } from '@figjunction/types';
import type { Proof } from './proof.js';
import { Callers, parseAnswer, repeatFor, startRequestCluster } from './requests/fixture.js';

const LOAD_MS = 8_000;
const WORKERS = 24;
const ANSWER_BYTES = [0, 100, 3_000, 40_000];
const FAULT_INTERVAL_MS = 400;
const PAUSE_MS = 900;
const COMPLETED_MINIMUM = 300;
const REORDER_MS = 30;

async function disturb(cluster: Cluster, until: number): Promise<void> {
  for (let round = 0; performance.now() < until; round += 1) {
    const index = round % cluster.agents.length;
    await cluster.workerControl(index).setFaults({
      truncateAnswers: 2,
      hangAnswers: 1,
      duplicateAnswers: 6,
    });
    if (round % 5 === 2) {
      cluster.agents[index]?.pause();
      await sleep(PAUSE_MS);
      cluster.agents[index]?.continue();
    }
    await sleep(FAULT_INTERVAL_MS);
  }
}

function checkAnswers(callers: Callers): void {
  for (const { body, answers } of callers.histories.values()) {
    const { answerBytes = 0 } = JSON.parse(body) as { answerBytes?: number };
    for (const text of answers) {
      const answer = parseAnswer(text);
      assert.equal(answer.bodyHash, hashBody(body), `${body} got the answer to another request`);
      assert.equal(answer.padding?.length ?? 0, answerBytes, `${body} got part of its answer`);
    }
  }
}

async function load(cluster: Cluster, callers: Callers, relays: TcpRelay[]): Promise<void> {
  const until = performance.now() + LOAD_MS;
  const sent = repeatFor(WORKERS, LOAD_MS, async (worker) => {
    const answerBytes = ANSWER_BYTES[worker % ANSWER_BYTES.length] ?? 0;
    await callers.send({
      address: relays[worker % relays.length]?.address ?? '',
      body: callers.uniqueBody({ answerBytes }),
      idempotent: worker % 3 === 0,
      timeoutMs: 2_000,
    });
  });
  await Promise.all([sent, disturb(cluster, until)]);
}

async function run(): Promise<void> {
  const cluster = await startRequestCluster({ workerArguments: ['--service-spread', '1'] });
  const callers = new Callers();
  try {
    const relays = cluster.entries.map((entry) => new TcpRelay({ targetAddress: entry.address }));
    for (const relay of relays) {
      await relay.listen();
      relay.reorderAnswers(0, REORDER_MS);
      cluster.harness.onClose(() => relay.close());
    }
    await load(cluster, callers, relays);
    checkAnswers(callers);
    const completed = callers.countTold(RequestOutcome.Completed);
    assert.ok(completed >= COMPLETED_MINIMUM, `too few completed: ${callers.summary()}`);
    const unknown = callers.countTold(RequestOutcome.Unknown);
    assert.ok(unknown > 0, `no fault reached a request: ${callers.summary()}`);
  } finally {
    callers.close();
    await cluster.close();
  }
}

export const completeAnswersProof: Proof = {
  number: 4,
  property: 'A caller gets the complete response to their own request',
  run,
};
