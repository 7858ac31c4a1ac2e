/**
 * Stands for the peak of the target size: 120 task starts a second, sustained, at the table's write limit
 * of 400 transactions a second, with urgent work among overnight work. Shows how long a task waits from
 * its submission to its start on a worker, and what a start costs in the table. Sizes of both kinds are
 * learnt in a warm-up before, so that the figures show the sustained state.
 */
import { waitUntil } from '@figjunction/test-support';
import type { Cluster, PlatformStats } from '@figjunction/test-support';
import { submitJobs } from '../batch-load.js';
import type { BatchLoadResult, JobWave } from '../batch-load.js';
import { historiesOf } from '../execution-figures.js';
import type { TaskHistory } from '../execution-figures.js';
import { Latency } from '../latency.js';
import { withMeasuredCluster } from '../measured-cluster.js';
import { readEntryMetrics, riseOf } from '../metrics-reader.js';
import type { Figures, Scenario } from '../scenario.js';
import { OVERNIGHT_KIND, URGENT_KIND } from '../workload.js';

const TEAMS = ['hotel', 'banquet', 'school', 'airline', 'clinic', 'station'];
const AGENTS = 6;
const ENTRIES = 2;
const STARTS_PER_SECOND = 120;
const SUBMIT_INTERVAL_MS = 100;
const SUBMIT_DURATION_MS = 20_000;
const FINISH_TIMEOUT_MS = 15_000;
/** Longer than the lag of the usage measurements, so that every task is measured. */
const TASK_DURATION_MS = 4_000;
const WARM_UP_TASKS_PER_JOB = 10;
const WARM_UP_TIMEOUT_MS = 15_000;
const CAPACITY = { processorMillicores: 64_000, memoryMegabytes: 256_000, accelerators: 0 };
const URGENT_EVERY = 6;
const MILLISECONDS_PER_SECOND = 1_000;
const TASKS_PER_JOB = (STARTS_PER_SECOND * SUBMIT_INTERVAL_MS) / MILLISECONDS_PER_SECOND;
const TASK_SIZE = { processorMillicores: 100, memoryMegabytes: 128, accelerators: 0 };

export const startRate: Scenario = {
  name: 'start-rate',
  summary: '120 task starts a second at the table write limit, one in six urgent',
  run: (run) =>
    withMeasuredCluster(
      {
        run,
        cluster: { entries: ENTRIES, agents: AGENTS, capacity: CAPACITY },
        workload: { instances: 0, teams: TEAMS, batchSize: TASK_SIZE },
      },
      async (cluster) => {
        await warmUp(cluster);
        await cluster.platformControl.resetStats();
        const metricsBefore = await readEntryMetrics(cluster);
        const submitted = await submitJobs({
          cluster,
          label: 'rate',
          waves: createWaves(),
          intervalMs: SUBMIT_INTERVAL_MS,
          durationMs: SUBMIT_DURATION_MS,
        });
        const histories = await waitForCompletion(cluster, submitted, FINISH_TIMEOUT_MS);
        const stats = await cluster.platformControl.readStats();
        const metricsAfter = await readEntryMetrics(cluster);
        const rise = (name: string): number => riseOf(name, metricsBefore, metricsAfter);
        return {
          load: {
            tasksPerSecond: STARTS_PER_SECOND,
            seconds: SUBMIT_DURATION_MS / MILLISECONDS_PER_SECOND,
            taskMs: TASK_DURATION_MS,
            agents: AGENTS,
            entries: ENTRIES,
          },
          figures: {
            ...figuresOf(submitted, histories, stats),
            reservationsRefused: rise('reservations_refused_total'),
            reservationsUnanswered: rise('reservations_failed_total'),
          },
        };
      },
    ),
};

function createWaves(): JobWave[] {
  return Array.from({ length: TEAMS.length * URGENT_EVERY }, (_value, index) => ({
    team: TEAMS[index % TEAMS.length] ?? '',
    // Shifted by one each round, so that every team submits both kinds.
    kind:
      (index + Math.floor(index / TEAMS.length)) % URGENT_EVERY === 0
        ? URGENT_KIND
        : OVERNIGHT_KIND,
    tasksPerJob: TASKS_PER_JOB,
    parameters: { durationMs: String(TASK_DURATION_MS) },
  }));
}

async function warmUp(cluster: Cluster): Promise<void> {
  const waves = createWaves().map((wave) => ({ ...wave, tasksPerJob: WARM_UP_TASKS_PER_JOB }));
  const intervalMs = SUBMIT_INTERVAL_MS / 2;
  const durationMs = waves.length * intervalMs;
  const label = 'warm-up';
  const submitted = await submitJobs({ cluster, label, waves, intervalMs, durationMs });
  await waitForCompletion(cluster, submitted, WARM_UP_TIMEOUT_MS);
}

/** Waits until every accepted task completed, at most for the given time. */
async function waitForCompletion(
  cluster: Cluster,
  submitted: BatchLoadResult,
  timeoutMs: number,
): Promise<Map<string, TaskHistory>> {
  let histories = new Map<string, TaskHistory>();
  const isDone = async (): Promise<boolean> => {
    histories = historiesOf(await cluster.readExecutionLog(), [URGENT_KIND, OVERNIGHT_KIND]);
    histories.forEach((_history, taskId) => {
      if (!submitted.submittedAtMs.has(taskId)) {
        histories.delete(taskId);
      }
    });
    const completed = [...histories.values()].filter(({ completions }) => completions > 0);
    return completed.length >= submitted.acceptedTasks;
  };
  await waitUntil(isDone, { timeoutMs, intervalMs: 500 }).catch(() => {});
  return histories;
}

function figuresOf(
  submitted: BatchLoadResult,
  histories: Map<string, TaskHistory>,
  stats: PlatformStats,
): Figures {
  const waits = { urgent: new Latency(), overnight: new Latency() };
  const startTimes: number[] = [];
  for (const [taskId, submittedAtMs] of submitted.submittedAtMs) {
    const history = histories.get(taskId);
    if (history !== undefined) {
      startTimes.push(history.firstStartAtMs);
      const latency = history.kind === URGENT_KIND ? waits.urgent : waits.overnight;
      latency.record(history.firstStartAtMs - submittedAtMs);
    }
  }
  const all = [...histories.values()];
  const starts = all.reduce((sum, history) => sum + history.starts, 0);
  const windowSeconds =
    (Math.max(...startTimes) - Math.min(...startTimes)) / MILLISECONDS_PER_SECOND;
  return {
    acceptedTasks: submitted.acceptedTasks,
    refusedJobs: submitted.refusedJobs,
    startedTasks: startTimes.length,
    completedTasks: all.filter(({ completions }) => completions > 0).length,
    completedTwice: all.filter(({ completions }) => completions > 1).length,
    startsPerSecond: startTimes.length > 1 ? startTimes.length / windowSeconds : null,
    ...waits.urgent.figures('urgentStart'),
    urgentStartMaximumMs: waits.urgent.maximumMs,
    ...waits.overnight.figures('overnightStart'),
    transactionsPerStart: starts === 0 ? null : stats.transactions / starts,
    rowsPerStart: starts === 0 ? null : stats.rowsWritten / starts,
    readsPerStart: starts === 0 ? null : stats.reads / starts,
    conflicts: stats.conflicts,
    throttled: stats.throttled,
  };
}
