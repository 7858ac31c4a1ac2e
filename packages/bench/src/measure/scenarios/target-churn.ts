/**
 * Stands for a day of restarts and failures in half a minute: one VM is drained and comes back, one agent is
 * killed and restarted, one is restarted gracefully, one VM fails for good. Requests are non-idempotent, so
 * each may run once at most. Shows what callers see.
 */
import { ExecutionEvent } from '@figjunction/test-support';
import type { Cluster, ExecutionRecord } from '@figjunction/test-support';
import { sleep } from '@figjunction/time';
import { withMeasuredCluster } from '../measured-cluster.js';
import type { Scenario } from '../scenario.js';
import { loadFigures, loadService } from '../service-load.js';
import { OPERATOR_TOKEN } from '../workload.js';

const AGENTS = 6;
const INSTANCES = 6;
const RATE = 150;
const QUIET_MS = 6_000;
const CHURN_MS = 32_000;
const STEP_MS = 6_000;
const RESTART_PAUSE_MS = 1_000;

const DRAINED = 0;
const KILLED = 1;
const RESTARTED = 2;
const LOST = 3;

export const targetChurn: Scenario = {
  name: 'target-churn',
  summary: 'drain, crash, restart and loss of targets under label requests',
  run: (run) =>
    withMeasuredCluster(
      {
        run,
        cluster: { agents: AGENTS },
        workload: { instances: INSTANCES, teams: ['hotel'] },
      },
      async (cluster) => {
        const service = {
          cluster,
          team: 'hotel',
          ratePerSecond: RATE,
          seed: run.seed,
          idempotent: false,
        };
        const quiet = await loadService({ ...service, label: 'quiet', durationMs: QUIET_MS });
        const [churn] = await Promise.all([
          loadService({ ...service, label: 'churn', durationMs: CHURN_MS }),
          disturb(cluster),
        ]);
        const log = await readSurvivors(cluster);
        return {
          load: { requestsPerSecond: RATE, agents: AGENTS, instances: INSTANCES },
          figures: {
            ...loadFigures('quiet', quiet),
            ...loadFigures('churn', churn),
            requestsRunTwice: countRunTwice(log),
          },
        };
      },
    ),
};

async function disturb(cluster: Cluster): Promise<void> {
  await sleep(RESTART_PAUSE_MS);
  const drainPath = `/v1/vms/vm-${DRAINED + 1}/drain`;
  await cluster.entryClient().call('POST', drainPath, OPERATOR_TOKEN, {});
  await sleep(STEP_MS);
  await cluster.entryClient().call('DELETE', drainPath, OPERATOR_TOKEN);
  await sleep(RESTART_PAUSE_MS);
  await cluster.agents[KILLED]?.kill();
  await sleep(RESTART_PAUSE_MS);
  await cluster.startAgent(KILLED);
  await sleep(STEP_MS);
  await cluster.agents[RESTARTED]?.terminate();
  await cluster.startAgent(RESTARTED);
  await sleep(STEP_MS);
  await Promise.all([cluster.agents[LOST]?.kill(), cluster.workers[LOST]?.kill()]);
}

/** The record of the worker that was lost is lost with it. */
async function readSurvivors(cluster: Cluster): Promise<ExecutionRecord[]> {
  const survivors = cluster.workers
    .map((worker, index) => ({ worker, index }))
    .filter(({ worker }) => worker.isRunning);
  const logs = await Promise.all(
    survivors.map(({ index }) => cluster.workerControl(index).readLog()),
  );
  return logs.flat();
}

function countRunTwice(log: ExecutionRecord[]): number {
  const begins = new Map<string, number>();
  for (const { event, requestKey } of log) {
    if (event === ExecutionEvent.RequestBegin && requestKey !== undefined) {
      begins.set(requestKey, (begins.get(requestKey) ?? 0) + 1);
    }
  }
  return [...begins.values()].filter((count) => count > 1).length;
}
