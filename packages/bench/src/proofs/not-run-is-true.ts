/**
 * Invariant 5: a request that a caller was told did not run never began to execute, while queues overflow,
 * deadlines are short, agents are killed, restarted and paused, and the table is out for a time; and while
 * connections between entries and agents go silent.
 */
import assert from 'node:assert/strict';
import type { Cluster } from '@figjunction/test-support';
import { sleep } from '@figjunction/time';
import { OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { Proof } from './proof.js';
import {
  Callers,
  executionsOf,
  readExecutions,
  repeatFor,
  startRequestCluster,
} from './requests/fixture.js';
import { checkSilentLinks } from './requests/silent-links.js';

const LOAD_MS = 9_000;
const WORKERS = 160;
const TIMEOUTS_MS = [60, 150, 400, 2_000];
const WORK_MS = 25;
const STEP_MS = 700;

/** Long enough after the last answer for attempts that were still travelling. */
const SETTLE_MS = 1_500;

async function disturb(cluster: Cluster): Promise<void> {
  const platform = cluster.platformControl;
  await sleep(STEP_MS);
  cluster.agents[0]?.pause();
  await sleep(STEP_MS);
  await platform.setFaults({ outage: true });
  cluster.agents[0]?.continue();
  await sleep(STEP_MS);
  await platform.setFaults({ outage: false, loseAnswers: 5 });
  await cluster.agents[1]?.kill();
  await sleep(STEP_MS);
  await cluster.startAgent(1);
  cluster.agents[2]?.pause();
  await sleep(STEP_MS);
  cluster.agents[2]?.continue();
  await platform.setFaults({ loseAnswers: 5 });
}

async function runUnderFaults(): Promise<void> {
  const cluster = await startRequestCluster();
  const callers = new Callers();
  try {
    const sent = repeatFor(WORKERS, LOAD_MS, async (worker) => {
      const body = callers.uniqueBody({ workMs: WORK_MS });
      await callers.send({
        address: cluster.entries[worker % 2]?.address ?? '',
        body,
        requestId: worker % 4 === 0 ? `id-${JSON.parse(body).number}` : undefined,
        idempotent: worker % 8 === 1,
        timeoutMs: TIMEOUTS_MS[worker % TIMEOUTS_MS.length],
      });
    });
    await Promise.all([sent, disturb(cluster)]);
    await sleep(SETTLE_MS);
    await check(cluster, callers);
  } finally {
    callers.close();
    await cluster.close();
  }
}

async function check(cluster: Cluster, callers: Callers): Promise<void> {
  const executions = await readExecutions(cluster);
  const codes = new Set<string>();
  for (const { body, told, codes: own } of callers.histories.values()) {
    if (told.every((outcome) => outcome === RequestOutcome.NotRun)) {
      own.forEach((code) => codes.add(code));
      const count = executionsOf(executions, body);
      assert.equal(count, 0, `${body} was said not to have run (${own.join()}) and ran`);
    }
  }
  const summary = callers.summary();
  assert.ok(callers.countTold(RequestOutcome.Completed) > 0, `nothing completed: ${summary}`);
  assert.ok(codes.has(OutcomeCode.DeadlineTooShort), `no deadline was too short: ${summary}`);
  assert.ok(codes.has(OutcomeCode.TableUnavailable), `the outage was not seen: ${summary}`);
}

export const notRunIsTrueProof: Proof = {
  number: 5,
  property: 'When the system says a request was not run, it was in fact not run',
  async run(): Promise<void> {
    await runUnderFaults();
    await checkSilentLinks();
  },
};
