/**
 * A cluster for the time of one measurement, with a configuration in force and its instances running.
 */
import { ExecutionEvent, startCluster, waitUntil } from '@figjunction/test-support';
import type { Cluster, ClusterOptions } from '@figjunction/test-support';
import { RequestOutcome } from '@figjunction/types';
import { settingsOf } from './scenario.js';
import type { ScenarioRun } from './scenario.js';
import { OPERATOR_TOKEN, SERVICE, createConfiguration, tokenOf } from './workload.js';
import type { WorkloadOptions } from './workload.js';

export interface MeasuredClusterOptions {
  run: ScenarioRun;
  cluster: ClusterOptions;
  workload: WorkloadOptions;
}

const READY_TIMEOUT_MS = 30_000;

/** Requests in a row, spread over the entries, that must succeed before the measurement begins. */
const WARM_UP_REQUESTS = 20;

export async function withMeasuredCluster<Result>(
  options: MeasuredClusterOptions,
  body: (cluster: Cluster) => Promise<Result>,
): Promise<Result> {
  const { run, workload } = options;
  const cluster = await startCluster({
    ...options.cluster,
    seed: run.seed,
    policy: settingsOf(run.policy),
  });
  try {
    const revision = await cluster.apply(createConfiguration(workload));
    cluster.operatorToken = OPERATOR_TOKEN;
    await cluster.waitUntilInForce(revision);
    await waitForInstances(cluster, workload);
    return await body(cluster);
  } finally {
    await cluster.close();
  }
}

async function waitForInstances(cluster: Cluster, workload: WorkloadOptions): Promise<void> {
  const { instances, teams } = workload;
  if (instances === 0) {
    return;
  }
  await waitUntil(async () => (await countInstances(cluster)) >= instances, {
    timeoutMs: READY_TIMEOUT_MS,
    what: `${instances} instances run`,
  });
  await waitUntil(() => warmUp(cluster, teams[0] ?? ''), {
    timeoutMs: READY_TIMEOUT_MS,
    what: 'requests complete through every entry',
  });
}

async function countInstances(cluster: Cluster): Promise<number> {
  const log = await cluster.readExecutionLog();
  return new Set(
    log
      .filter(({ event, kind }) => event === ExecutionEvent.TaskStart && kind === SERVICE)
      .map(taskIdOf),
  ).size;
}

function taskIdOf({ taskId }: { taskId: string }): string {
  return taskId;
}

async function warmUp(cluster: Cluster, team: string): Promise<boolean> {
  for (let index = 0; index < WARM_UP_REQUESTS; index += 1) {
    const client = cluster.entryClient(index % cluster.entries.length);
    const body = JSON.stringify({ warmUp: index });
    const { outcome } = await client.request({ service: SERVICE, body, token: tokenOf(team) });
    if (outcome !== RequestOutcome.Completed) {
      return false;
    }
  }
  return true;
}
