/**
 * Stands for a banquet house that cancels an event: hundreds of running and waiting reprints are cancelled
 * at once. Shows how long it takes until none of them runs, and what urgent work of others notices.
 */
import { ExecutionEvent } from '@figjunction/test-support';
import type { Cluster, ExecutionRecord } from '@figjunction/test-support';
import { SystemClock, sleep } from '@figjunction/time';
import { submitJobs } from '../batch-load.js';
import { historiesOf, startWaits } from '../execution-figures.js';
import { Latency } from '../latency.js';
import { withMeasuredCluster } from '../measured-cluster.js';
import type { Scenario } from '../scenario.js';
import { OVERNIGHT_KIND, URGENT_KIND, tokenOf } from '../workload.js';

const AGENTS = 6;
const JOBS = 12;
const TASKS_PER_JOB = 60;
const JOB_INTERVAL_MS = 100;
const FILLING_MS = 12_000;
const AFTER_CANCEL_MS = 15_000;
const LONG_TASK_MS = 120_000;
const URGENT = { tasksPerJob: 3, intervalMs: 500, taskMs: 1_000 };
const LABEL = 'event';
const TEAM = 'banquet';

export const cancelWave: Scenario = {
  name: 'cancel-wave',
  summary: 'hundreds of running and waiting reprints are cancelled at once',
  run: (run) =>
    withMeasuredCluster(
      {
        run,
        cluster: { agents: AGENTS },
        workload: { instances: 0, teams: [TEAM, 'school'] },
      },
      async (cluster) => {
        const wave = { tasksPerJob: TASKS_PER_JOB, parameters: { durationMs: `${LONG_TASK_MS}` } };
        const submitted = await submitJobs({
          cluster,
          label: LABEL,
          waves: [{ ...wave, team: TEAM, kind: OVERNIGHT_KIND }],
          intervalMs: JOB_INTERVAL_MS,
          durationMs: JOBS * JOB_INTERVAL_MS,
        });
        await sleep(FILLING_MS);
        const cancelledAtMs = new SystemClock().now();
        const urgentWave = { durationMs: String(URGENT.taskMs) };
        const [answers, urgent] = await Promise.all([
          cancelJobs(cluster),
          submitJobs({
            cluster,
            label: 'urgent',
            waves: [
              {
                team: 'school',
                kind: URGENT_KIND,
                tasksPerJob: URGENT.tasksPerJob,
                parameters: urgentWave,
              },
            ],
            intervalMs: URGENT.intervalMs,
            durationMs: AFTER_CANCEL_MS,
          }),
        ]);
        const log = await cluster.readExecutionLog();
        const stats = await cluster.platformControl.readStats();
        const urgentHistories = historiesOf(log, [URGENT_KIND]);
        return {
          load: { jobs: JOBS, tasks: submitted.acceptedTasks, agents: AGENTS },
          figures: {
            ...answers.latency.figures('cancelAnswer'),
            refusedCancels: answers.refused,
            ...stopFigures(log, cancelledAtMs),
            ...startWaits(urgentHistories, urgent.submittedAtMs).figures('urgentStart'),
            throttled: stats.throttled,
            conflicts: stats.conflicts,
          },
        };
      },
    ),
};

async function cancelJobs(cluster: Cluster): Promise<{ latency: Latency; refused: number }> {
  const latency = new Latency();
  let refused = 0;
  const cancelOne = async (index: number): Promise<void> => {
    const startedAt = performance.now();
    try {
      const client = cluster.entryClient(index % cluster.entries.length);
      await client.cancel(`${LABEL}-${index}`, tokenOf(TEAM));
      latency.record(performance.now() - startedAt);
    } catch {
      refused += 1;
    }
  };
  await Promise.all(Array.from({ length: JOBS }, (_value, index) => cancelOne(index)));
  return { latency, refused };
}

/** When the cancelled tasks stopped, and how many started although they were cancelled. */
function stopFigures(log: ExecutionRecord[], cancelledAtMs: number) {
  const running = new Set<string>();
  const stops = new Latency();
  let startsAfterCancel = 0;
  let ranAtCancel = 0;
  let countedAtCancel = false;
  for (const { event, kind, taskId, atHostMs } of log) {
    if (kind === OVERNIGHT_KIND) {
      if (!countedAtCancel && atHostMs >= cancelledAtMs) {
        ranAtCancel = running.size;
        countedAtCancel = true;
      }
      if (event === ExecutionEvent.TaskStart) {
        running.add(taskId);
        startsAfterCancel += atHostMs >= cancelledAtMs ? 1 : 0;
      } else if (event === ExecutionEvent.TaskStop && running.delete(taskId)) {
        stops.record(Math.max(0, atHostMs - cancelledAtMs));
      }
    }
  }
  return {
    ranAtCancel,
    stoppedTasks: stops.count,
    stillRunning: running.size,
    startsAfterCancel,
    stopP50Ms: stops.percentileMs(50),
    stopMaximumMs: stops.maximumMs,
  };
}
