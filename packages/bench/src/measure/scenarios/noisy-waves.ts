/**
 * Stands for image renders that arrive in waves and slow label instances on the same VM down several
 * times. Shows the interactive tail, how much batch work is evicted, and how much of it completes.
 */
import { ExecutionEvent } from '@figjunction/test-support';
import { submitJobs } from '../batch-load.js';
import { historiesOf, repetitionFigures } from '../execution-figures.js';
import { withMeasuredCluster } from '../measured-cluster.js';
import type { Scenario } from '../scenario.js';
import { loadFigures, loadService } from '../service-load.js';
import { NOISY_KIND, OVERNIGHT_KIND } from '../workload.js';

const AGENTS = 6;
const INSTANCES = 6;
const RATE = 150;
const DURATION_MS = 35_000;
const WAVE_INTERVAL_MS = 9_000;
const NOISY_TASKS_PER_WAVE = 36;
const NOISY_DURATION_MS = 6_000;
const NOISE = 30;
const SERVICE_MEDIAN_MS = 20;
const CALM_INTERVAL_MS = 1_000;
const CALM_TASKS_PER_JOB = 6;
const CALM_DURATION_MS = 4_000;

export const noisyWaves: Scenario = {
  name: 'noisy-waves',
  summary: 'waves of noisy renders beside label instances and calm reprints',
  run: (run) =>
    withMeasuredCluster(
      {
        run,
        cluster: {
          agents: AGENTS,
          workerArguments: [`--service-median-ms=${SERVICE_MEDIAN_MS}`],
        },
        workload: { instances: INSTANCES, teams: ['hotel', 'banquet', 'studio'] },
      },
      async (cluster) => {
        const submit = (
          label: string,
          team: string,
          kind: string,
          tasksPerJob: number,
          intervalMs: number,
          parameters: Record<string, string>,
        ) =>
          submitJobs({
            cluster,
            label,
            waves: [{ team, kind, tasksPerJob, parameters }],
            intervalMs,
            durationMs: DURATION_MS,
          });
        const noisy = { durationMs: String(NOISY_DURATION_MS), noise: String(NOISE) };
        const calm = { durationMs: String(CALM_DURATION_MS) };
        const [requests] = await Promise.all([
          loadService({
            cluster,
            label: 'waves',
            team: 'hotel',
            ratePerSecond: RATE,
            durationMs: DURATION_MS,
            seed: run.seed,
          }),
          submit('noisy', 'studio', NOISY_KIND, NOISY_TASKS_PER_WAVE, WAVE_INTERVAL_MS, noisy),
          submit('calm', 'banquet', OVERNIGHT_KIND, CALM_TASKS_PER_JOB, CALM_INTERVAL_MS, calm),
        ]);
        const log = await cluster.readExecutionLog();
        const throttles = log.filter(({ event }) => event === ExecutionEvent.TaskThrottle).length;
        return {
          load: { requestsPerSecond: RATE, noise: NOISE, waveEveryMs: WAVE_INTERVAL_MS },
          figures: {
            ...loadFigures('requests', requests),
            ...repetitionFigures(historiesOf(log, [NOISY_KIND, OVERNIGHT_KIND])),
            throttles,
          },
        };
      },
    ),
};
