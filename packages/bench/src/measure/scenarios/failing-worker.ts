/**
 * Stands for a VM with a broken disk image: its worker fails everything it starts, quickly, and so always
 * has room. Shows how many runs it touches and what callers see.
 */
import { sleep } from '@figjunction/time';
import { submitJobs } from '../batch-load.js';
import { historiesOf, repetitionFigures, startWaits } from '../execution-figures.js';
import { withMeasuredCluster } from '../measured-cluster.js';
import type { Scenario } from '../scenario.js';
import { loadFigures, loadService } from '../service-load.js';
import { NOISY_KIND, OVERNIGHT_KIND, URGENT_KIND } from '../workload.js';

const AGENTS = 6;
const INSTANCES = 6;
const FAILING_WORKER = 0;
const RATE = 100;
const DURATION_MS = 25_000;
const TASK_DURATION_MS = 2_000;
const JOB_INTERVAL_MS = 250;
const TASKS_PER_JOB = 5;
const FINISH_MS = 12_000;

export const failingWorker: Scenario = {
  name: 'failing-worker',
  summary: 'one of six workers fails everything it starts',
  run: (run) =>
    withMeasuredCluster(
      {
        run,
        cluster: { agents: AGENTS },
        workload: { instances: INSTANCES, teams: ['hotel', 'banquet', 'school', 'studio'] },
      },
      async (cluster) => {
        await cluster.workerControl(FAILING_WORKER).setFaults({ failEverything: true });
        const task = {
          tasksPerJob: TASKS_PER_JOB,
          parameters: { durationMs: String(TASK_DURATION_MS) },
        };
        const [requests, submitted] = await Promise.all([
          loadService({
            cluster,
            label: 'failing',
            team: 'hotel',
            ratePerSecond: RATE,
            durationMs: DURATION_MS,
            seed: run.seed,
          }),
          submitJobs({
            cluster,
            label: 'failing',
            waves: [
              { ...task, team: 'banquet', kind: OVERNIGHT_KIND },
              { ...task, team: 'school', kind: URGENT_KIND },
              { ...task, team: 'studio', kind: NOISY_KIND },
            ],
            intervalMs: JOB_INTERVAL_MS,
            durationMs: DURATION_MS,
          }),
        ]);
        await sleep(FINISH_MS);
        const kinds = [OVERNIGHT_KIND, URGENT_KIND, NOISY_KIND];
        const histories = historiesOf(await cluster.readExecutionLog(), kinds);
        const repetitions = repetitionFigures(histories);
        return {
          load: { agents: AGENTS, tasks: submitted.acceptedTasks, requestsPerSecond: RATE },
          figures: {
            ...repetitions,
            failedMoreThanOnceFraction:
              [...histories.values()].filter(({ failures }) => failures > 1).length /
              Math.max(1, submitted.acceptedTasks),
            completedFraction:
              (repetitions.completedTasks ?? 0) / Math.max(1, submitted.acceptedTasks),
            ...startWaits(histories, submitted.submittedAtMs).figures('start'),
            ...loadFigures('requests', requests),
          },
        };
      },
    ),
};
