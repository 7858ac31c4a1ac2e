/**
 * Invariant 1: several entries place at once with stale views, a kind is five times larger than declared,
 * agents restart and crash with tasks running; the workers' own record never shows more than a VM carries.
 */
import assert from 'node:assert/strict';
import { ExecutionEvent, agentIdOf, waitUntil } from '@figjunction/test-support';
import type { Cluster, ExecutionRecord } from '@figjunction/test-support';
import type { Resources } from '@figjunction/types';
import {
  BATCH_SIZE,
  NOISY_KIND,
  OVERNIGHT_KIND,
  SERVICE,
  URGENT_KIND,
} from '../measure/workload.js';
import { isEnd, runningOn, submitJob, withProofCluster } from './proof-cluster.js';
import type { BatchJob } from './proof-cluster.js';
import type { Proof } from './proof.js';

const ENTRIES = 3;
const AGENTS = 3;
const CAPACITY: Resources = {
  processorMillicores: 16_000,
  memoryMegabytes: 32_768,
  accelerators: 0,
};
const INSTANCE_SIZE: Resources = {
  processorMillicores: 2_000,
  memoryMegabytes: 4_096,
  accelerators: 0,
};
const TEAMS = ['hotels', 'banquets', 'schools', 'markets', 'bakeries', 'clinics'];
const RIGHT_TASKS_PER_JOB = 60;
const WRONG_TASKS_PER_JOB = 20;
const URGENT_TASKS_PER_JOB = 20;
const WRONG_SIZE_FACTOR = 5;
const TIMEOUT_MS = 90_000;

export const capacityProof: Proof = {
  number: 1,
  property: 'no VM is ever given more work than its processors, memory and accelerators can carry',
  run: () =>
    withProofCluster(
      {
        cluster: { entries: ENTRIES, agents: AGENTS, capacity: CAPACITY },
        workload: { instances: AGENTS, teams: TEAMS },
      },
      proveCapacity,
    ),
};

async function proveCapacity(cluster: Cluster): Promise<void> {
  const right = { kind: OVERNIGHT_KIND, jobId: 'right', tasks: RIGHT_TASKS_PER_JOB };
  await submitEverywhere(cluster, { ...right, parameters: { durationMs: '1500' } });
  const wrong = { kind: NOISY_KIND, jobId: 'wrong', tasks: WRONG_TASKS_PER_JOB };
  const parameters = { durationMs: '1500', trueSizeFactor: String(WRONG_SIZE_FACTOR) };
  await submitEverywhere(cluster, { ...wrong, parameters });
  await waitForStarts(cluster, right.tasks);
  const adoptable = runningOn(await cluster.readExecutionLog(), agentIdOf(0)).length;
  assert.ok(adoptable > 0, 'no task was running when the agent restarted');
  await cluster.agents[0]?.terminate();
  await cluster.startAgent(0);
  const urgent = { kind: URGENT_KIND, jobId: 'urgent', tasks: URGENT_TASKS_PER_JOB };
  await submitEverywhere(cluster, { ...urgent, parameters: { durationMs: '1000' } });
  await cluster.agents[1]?.kill();
  await cluster.startAgent(1);
  await waitForCompletions(cluster, TEAMS.length * (right.tasks + wrong.tasks + urgent.tasks));
  assertWithinCapacity(await cluster.readExecutionLog());
}

/** Every entry submits at the same moment, so that all owners place at once. */
async function submitEverywhere(cluster: Cluster, job: Omit<BatchJob, 'team'>): Promise<void> {
  await Promise.all(
    TEAMS.map((team, index) => submitJob(cluster, { ...job, team }, index % ENTRIES)),
  );
}

async function waitForStarts(cluster: Cluster, count: number): Promise<void> {
  await waitForEvents(cluster, ExecutionEvent.TaskStart, count);
}

async function waitForCompletions(cluster: Cluster, count: number): Promise<void> {
  await waitForEvents(cluster, ExecutionEvent.TaskComplete, count);
}

async function waitForEvents(cluster: Cluster, event: ExecutionEvent, count: number) {
  await waitUntil(
    async () =>
      (await cluster.readExecutionLog()).filter((one) => one.event === event).length >= count,
    { timeoutMs: TIMEOUT_MS, intervalMs: 250, what: `${count} records of ${event}` },
  );
}

function assertWithinCapacity(records: ExecutionRecord[]): void {
  const over = records.filter(({ event }) => event === ExecutionEvent.OverCapacity);
  assert.deepEqual(over, [], 'true use went over the capacity of a VM');
  for (let index = 0; index < AGENTS; index += 1) {
    assertDeclaredSizesFit(records.filter(({ workerId }) => workerId === agentIdOf(index)));
  }
}

/** The sizes of what a worker runs, added up at every start. */
function assertDeclaredSizesFit(records: ExecutionRecord[]): void {
  let processors = 0;
  let memory = 0;
  let starts = 0;
  for (const record of records) {
    const size = record.kind === SERVICE ? INSTANCE_SIZE : BATCH_SIZE;
    if (record.event === ExecutionEvent.TaskStart) {
      processors += size.processorMillicores;
      memory += size.memoryMegabytes;
      starts += 1;
    } else if (isEnd(record)) {
      processors -= size.processorMillicores;
      memory -= size.memoryMegabytes;
    }
    assert.ok(processors <= CAPACITY.processorMillicores, `processors ${processors}`);
    assert.ok(memory <= CAPACITY.memoryMegabytes, `memory ${memory}`);
  }
  assert.ok(starts > RIGHT_TASKS_PER_JOB, `only ${starts} tasks were started on a VM`);
}
