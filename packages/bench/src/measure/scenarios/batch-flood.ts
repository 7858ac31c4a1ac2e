/**
 * Stands for a banquet house that sends thousands of overnight reprints at once. Shows what the flood of
 * the least urgent work does to label requests and to urgent reprints of other teams.
 */
import { submitJobs } from '../batch-load.js';
import type { BatchLoadResult } from '../batch-load.js';
import { historiesOf, repetitionFigures, startWaits } from '../execution-figures.js';
import { withMeasuredCluster } from '../measured-cluster.js';
import type { Scenario } from '../scenario.js';
import { loadFigures, loadService } from '../service-load.js';
import { OVERNIGHT_KIND, URGENT_KIND } from '../workload.js';

const AGENTS = 6;
const INSTANCES = 6;
const RATE = 200;
const QUIET_MS = 10_000;
const FLOOD_MS = 20_000;
const FLOOD_TASKS_PER_JOB = 200;
const FLOOD_JOB_INTERVAL_MS = 250;
const FLOOD_SUBMIT_MS = 5_000;
const TASK_DURATION_MS = 4_000;
const URGENT_JOB_INTERVAL_MS = 500;
const URGENT_TASKS_PER_JOB = 3;

export const batchFlood: Scenario = {
  name: 'batch-flood',
  summary: 'thousands of overnight reprints at once beside label requests and urgent reprints',
  run: (run) =>
    withMeasuredCluster(
      {
        run,
        cluster: { agents: AGENTS },
        workload: { instances: INSTANCES, teams: ['hotel', 'banquet', 'school'] },
      },
      async (cluster) => {
        const service = { cluster, team: 'hotel', ratePerSecond: RATE, seed: run.seed };
        const parameters = { durationMs: String(TASK_DURATION_MS) };
        const submitUrgent = (label: string, durationMs: number): Promise<BatchLoadResult> =>
          submitJobs({
            cluster,
            label,
            waves: [
              { team: 'school', kind: URGENT_KIND, tasksPerJob: URGENT_TASKS_PER_JOB, parameters },
            ],
            intervalMs: URGENT_JOB_INTERVAL_MS,
            durationMs,
          });
        const [quiet, quietUrgent] = await Promise.all([
          loadService({ ...service, label: 'quiet', durationMs: QUIET_MS }),
          submitUrgent('quiet', QUIET_MS),
        ]);
        const [flooded, floodUrgent, flood] = await Promise.all([
          loadService({ ...service, label: 'flood', durationMs: FLOOD_MS }),
          submitUrgent('flood', FLOOD_MS),
          submitJobs({
            cluster,
            label: 'least',
            waves: [
              {
                team: 'banquet',
                kind: OVERNIGHT_KIND,
                tasksPerJob: FLOOD_TASKS_PER_JOB,
                parameters,
              },
            ],
            intervalMs: FLOOD_JOB_INTERVAL_MS,
            durationMs: FLOOD_SUBMIT_MS,
          }),
        ]);
        const log = await cluster.readExecutionLog();
        const urgent = historiesOf(log, [URGENT_KIND]);
        const quietP99 = quiet.latency.percentileMs(99);
        const floodP99 = flooded.latency.percentileMs(99);
        return {
          load: {
            requestsPerSecond: RATE,
            floodTasks: flood.acceptedTasks,
            floodJobsRefused: flood.refusedJobs,
            urgentTasks: quietUrgent.acceptedTasks + floodUrgent.acceptedTasks,
          },
          figures: {
            ...loadFigures('quiet', quiet),
            ...loadFigures('flood', flooded),
            floodP99OverQuiet: quietP99 && floodP99 ? floodP99 / quietP99 : null,
            ...startWaits(urgent, quietUrgent.submittedAtMs).figures('quietUrgentStart'),
            ...startWaits(urgent, floodUrgent.submittedAtMs).figures('floodUrgentStart'),
            floodUrgentStartedFraction:
              startWaits(urgent, floodUrgent.submittedAtMs).count /
              Math.max(1, floodUrgent.acceptedTasks),
            ...repetitionFigures(historiesOf(log, [OVERNIGHT_KIND])),
          },
        };
      },
    ),
};
