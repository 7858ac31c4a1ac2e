/**
 * Stands for an outage of the platform that is longer than the agents' leases. Shows that label requests
 * go on, what becomes of requests that need a claim, how hard the system presses on the platform during
 * the outage, and how long batch work takes to come back.
 */
import { ExecutionEvent } from '@figjunction/test-support';
import type { Cluster, ExecutionRecord } from '@figjunction/test-support';
import { SystemClock, sleep } from '@figjunction/time';
import { RequestOutcome } from '@figjunction/types';
import { submitJobs } from '../batch-load.js';
import { countEvents, historiesOf, repetitionFigures } from '../execution-figures.js';
import { withMeasuredCluster } from '../measured-cluster.js';
import type { Scenario } from '../scenario.js';
import { loadFigures, loadService } from '../service-load.js';
import { OVERNIGHT_KIND, SERVICE, tokenOf } from '../workload.js';

const AGENTS = 4;
const INSTANCES = 4;
const RATE = 120;
const BEFORE_MS = 6_000;
const OUTAGE_MS = 18_000;
const AFTER_MS = 14_000;
const TASKS = 24;
const TASK_DURATION_MS = 20_000;
const CLAIM_INTERVAL_MS = 500;
const MILLISECONDS_PER_SECOND = 1_000;

export const tableOutage: Scenario = {
  name: 'table-outage',
  summary: 'the platform is down for 18 s, longer than the leases',
  run: (run) =>
    withMeasuredCluster(
      {
        run,
        cluster: { agents: AGENTS },
        workload: { instances: INSTANCES, teams: ['hotel', 'banquet'] },
      },
      async (cluster) => {
        const clock = new SystemClock();
        const service = { cluster, team: 'hotel', ratePerSecond: RATE, seed: run.seed };
        const parameters = { durationMs: String(TASK_DURATION_MS) };
        await submitJobs({
          cluster,
          label: 'outage',
          waves: [{ team: 'banquet', kind: OVERNIGHT_KIND, tasksPerJob: TASKS, parameters }],
          intervalMs: 1,
          durationMs: 1,
        });
        const before = await loadService({ ...service, label: 'before', durationMs: BEFORE_MS });
        await cluster.platformControl.resetStats();
        await cluster.platformControl.setFaults({ outage: true });
        const [during, claims] = await Promise.all([
          loadService({ ...service, label: 'during', durationMs: OUTAGE_MS }),
          sendClaims(cluster),
        ]);
        const { refusedInOutage } = await cluster.platformControl.readStats();
        await cluster.platformControl.setFaults({ outage: false });
        const endedAtMs = clock.now();
        const after = await loadService({ ...service, label: 'after', durationMs: AFTER_MS });
        const log = await cluster.readExecutionLog();
        const histories = historiesOf(log, [OVERNIGHT_KIND]);
        return {
          load: { requestsPerSecond: RATE, outageMs: OUTAGE_MS, agents: AGENTS, tasks: TASKS },
          figures: {
            ...loadFigures('before', before),
            ...loadFigures('during', during),
            ...loadFigures('after', after),
            claimsNotRun: claims.notRun,
            claimsOtherwise: claims.otherwise,
            refusedCallsPerSecond: (refusedInOutage * MILLISECONDS_PER_SECOND) / OUTAGE_MS,
            suspended: countEvents(log, ExecutionEvent.TaskSuspend),
            firstBatchAfterMs: firstRunAfter(log, endedAtMs),
            ...repetitionFigures(histories),
          },
        };
      },
    ),
};

/** Requests with an id need a claim row, so that during the outage they must not run. */
async function sendClaims(cluster: Cluster): Promise<{ notRun: number; otherwise: number }> {
  const counts = { notRun: 0, otherwise: 0 };
  for (let index = 0; index < OUTAGE_MS / CLAIM_INTERVAL_MS - 1; index += 1) {
    await sleep(CLAIM_INTERVAL_MS);
    const { outcome } = await cluster.entryClient(index % cluster.entries.length).request({
      service: SERVICE,
      body: JSON.stringify({ claim: index }),
      token: tokenOf('hotel'),
      requestId: `claim-${index}`,
    });
    if (outcome === RequestOutcome.NotRun) {
      counts.notRun += 1;
    } else {
      counts.otherwise += 1;
    }
  }
  return counts;
}

function firstRunAfter(log: ExecutionRecord[], endedAtMs: number): number | null {
  const first = log.find(
    ({ event, kind, atHostMs }) =>
      kind === OVERNIGHT_KIND &&
      atHostMs >= endedAtMs &&
      (event === ExecutionEvent.TaskResume || event === ExecutionEvent.TaskStart),
  );
  return first === undefined ? null : first.atHostMs - endedAtMs;
}
