/**
 * A cluster for the time of one proof, with a configuration in force, and what its workers recorded.
 */
import { ExecutionEvent, startCluster, waitUntil } from '@figjunction/test-support';
import type { Cluster, ClusterOptions, ExecutionRecord } from '@figjunction/test-support';
import { OPERATOR_TOKEN, createConfiguration, tokenOf } from '../measure/workload.js';
import type { WorkloadOptions } from '../measure/workload.js';

export interface ProofClusterOptions {
  cluster: ClusterOptions;
  workload: WorkloadOptions;
}

export interface BatchJob {
  jobId: string;
  team: string;
  kind: string;
  tasks: number;
  parameters: Record<string, string>;
}

export async function withProofCluster(
  options: ProofClusterOptions,
  body: (cluster: Cluster) => Promise<void>,
): Promise<void> {
  const cluster = await startCluster({ logLevel: 'info', ...options.cluster });
  try {
    const revision = await cluster.apply(createConfiguration(options.workload));
    cluster.operatorToken = OPERATOR_TOKEN;
    await waitForRevision(cluster, revision);
    await body(cluster);
  } finally {
    await cluster.close();
  }
}

/** Entries take a new configuration with their next poll; until then they know no token of it. */
async function waitForRevision(cluster: Cluster, revision: number): Promise<void> {
  await Promise.all(
    cluster.entries.map((_entry, index) =>
      waitUntil(
        async () => (await cluster.entryClient(index).currentRevision(OPERATOR_TOKEN)) >= revision,
        { what: `entry ${index + 1} has revision ${revision}` },
      ),
    ),
  );
}

export async function submitJob(cluster: Cluster, job: BatchJob, entryIndex = 0): Promise<void> {
  const { jobId, team, kind, parameters } = job;
  const tasks = Array.from({ length: job.tasks }, (_value, index) => ({
    name: `task-${index}`,
    parameters,
  }));
  await cluster.entryClient(entryIndex).submit({ jobId, team, kind, tasks }, tokenOf(team));
}

const ENDING_EVENTS = new Set([
  ExecutionEvent.TaskComplete,
  ExecutionEvent.TaskFail,
  ExecutionEvent.TaskStop,
]);

/** Whether the task left the worker with this record. */
export function isEnd({ event }: ExecutionRecord): boolean {
  return ENDING_EVENTS.has(event);
}

/** Attempts that a worker runs after all given records, by worker. */
export function runningOn(records: ExecutionRecord[], workerId: string): ExecutionRecord[] {
  const running = new Map<string, ExecutionRecord>();
  for (const record of records.filter((one) => one.workerId === workerId)) {
    const attempt = `${record.taskId}#${record.attempt}`;
    if (record.event === ExecutionEvent.TaskStart) {
      running.set(attempt, record);
    } else if (isEnd(record)) {
      running.delete(attempt);
    }
  }
  return [...running.values()];
}
