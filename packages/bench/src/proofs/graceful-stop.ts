/**
 * Invariant 8: a planned stop of an agent, of an entry and of a VM's instance aborts no request in
 * progress, and the rest of the load goes on.
 */
import assert from 'node:assert/strict';
import { ExecutionEvent, waitUntil } from '@figjunction/test-support';
import type { Cluster } from '@figjunction/test-support';
import { RequestOutcome } from '@figjunction/types';
import type { Proof } from './proof.js';
import {
  Callers,
  OPERATOR_TOKEN,
  executionsOf,
  readExecutions,
  repeatFor,
  startRequestCluster,
} from './requests/fixture.js';

/** Enough that the load still has targets in its own region when two VMs are gone. */
const AGENTS = 5;

const LONG_WORK_MS = 2_500;
const LONG_TIMEOUT_MS = 10_000;
const LONG_REQUESTS = 12;
const LOAD_WORKERS = 8;
const LOAD_MS = 9_000;

/** Sends long requests, waits until all of them execute, stops something and checks what was told. */
async function stopDuring(
  cluster: Cluster,
  callers: Callers,
  entryIndex: number,
  stop: () => Promise<void>,
): Promise<void> {
  const address = cluster.entries[entryIndex]?.address ?? '';
  const bodies = Array.from({ length: LONG_REQUESTS }, () =>
    callers.uniqueBody({ workMs: LONG_WORK_MS }),
  );
  const answers = bodies.map((body) => callers.send({ address, body, timeoutMs: LONG_TIMEOUT_MS }));
  await waitUntil(() => allExecute(cluster, bodies), { what: 'the long requests execute' });
  const [told] = await Promise.all([Promise.all(answers), stop()]);
  assert.deepEqual(
    told.filter((outcome) => outcome !== RequestOutcome.Completed),
    [],
    `a planned stop ended requests in progress: ${callers.summary()}`,
  );
}

async function allExecute(cluster: Cluster, bodies: string[]): Promise<boolean> {
  const executions = await readExecutions(cluster);
  return bodies.every((body) => executionsOf(executions, body) > 0);
}

async function run(): Promise<void> {
  const cluster = await startRequestCluster({ agents: AGENTS });
  const callers = new Callers();
  try {
    // Entry 1 serves the load; entry 2 is the one that stops.
    const load = repeatFor(LOAD_WORKERS, LOAD_MS, async () => {
      const address = cluster.entries[0]?.address ?? '';
      await callers.send({ address, body: callers.uniqueBody({ workMs: 20 }) });
    });
    const stops = async (): Promise<void> => {
      await stopDuring(cluster, callers, 0, () => stopAgent(cluster, 0));
      await stopDuring(cluster, callers, 1, () => drainVm(cluster, 'vm-2'));
      await stopDuring(cluster, callers, 1, async () => {
        const exit = await cluster.entries[1]?.terminate();
        assert.equal(exit?.code, 0, 'the entry did not stop by itself');
      });
    };
    await Promise.all([load, stops()]);
    await check(cluster, callers);
  } finally {
    callers.close();
    await cluster.close();
  }
}

async function stopAgent(cluster: Cluster, index: number): Promise<void> {
  const exit = await cluster.agents[index]?.terminate();
  assert.equal(exit?.code, 0, 'the agent did not stop by itself');
}

async function drainVm(cluster: Cluster, agentId: string): Promise<void> {
  const answer = await cluster
    .entryClient(0)
    .call('POST', `/v1/vms/${agentId}/drain`, OPERATOR_TOKEN, {});
  assert.ok(answer.status < 300, `draining ${agentId} was answered with ${answer.status}`);
}

async function check(cluster: Cluster, callers: Callers): Promise<void> {
  const records = await cluster.readExecutionLog();
  const cut = records.filter(({ detail }) => detail === 'caller-gone');
  assert.equal(cut.length, 0, `${cut.length} targets lost their caller: ${callers.summary()}`);
  const begun = records.filter(({ event }) => event === ExecutionEvent.RequestBegin).length;
  const ended = records.filter(({ event }) => event === ExecutionEvent.RequestEnd).length;
  assert.equal(ended, begun, 'a request began and did not end');
  assert.equal(callers.countTold(RequestOutcome.Unknown), 0, callers.summary());
  assert.equal(callers.countTold(null), 0, callers.summary());
}

export const gracefulStopProof: Proof = {
  number: 8,
  property: 'A planned stop aborts no request in progress',
  run,
};
