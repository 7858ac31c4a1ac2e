/**
 * Stands for teams that declare a fifth of what their renders use and five times what their reprints use.
 * Shows whether true use ever exceeds a VM, and how much work is done compared with an oracle that knows
 * the true sizes and keeps every VM full.
 */
import { ExecutionEvent } from '@figjunction/test-support';
import { SystemClock, sleep } from '@figjunction/time';
import { submitJobs } from '../batch-load.js';
import { countEvents, historiesOf, repetitionFigures } from '../execution-figures.js';
import type { TaskHistory } from '../execution-figures.js';
import { withMeasuredCluster } from '../measured-cluster.js';
import type { Scenario } from '../scenario.js';
import { NOISY_KIND, OVERNIGHT_KIND } from '../workload.js';

const AGENTS = 4;
const CAPACITY = { processorMillicores: 16_000, memoryMegabytes: 61_440, accelerators: 0 };
const DECLARED = { processorMillicores: 500, memoryMegabytes: 512, accelerators: 0 };
const LARGE_FACTOR = 5;
const SMALL_FACTOR = 0.2;
const TASK_DURATION_MS = 4_000;
const JOB_INTERVAL_MS = 500;
const TASKS_PER_JOB = 60;
const SUBMIT_MS = 6_000;
const LEARNING_MS = 12_000;
const MEASURED_MS = 18_000;
/** Tasks that run at the end of the window complete in this time unless they are throttled. */
const COMPLETION_MS = TASK_DURATION_MS + 1_000;

export const wrongSizes: Scenario = {
  name: 'wrong-sizes',
  summary: 'declared sizes a factor of five too small and too large',
  run: (run) =>
    withMeasuredCluster(
      {
        run,
        cluster: { agents: AGENTS, capacity: CAPACITY },
        workload: { instances: 0, teams: ['studio', 'banquet'], batchSize: DECLARED },
      },
      async (cluster) => {
        const clock = new SystemClock();
        const durationMs = String(TASK_DURATION_MS);
        const parametersOf = (factor: number) => ({ durationMs, trueSizeFactor: String(factor) });
        const batch = { tasksPerJob: TASKS_PER_JOB };
        await submitJobs({
          cluster,
          label: 'sizes',
          waves: [
            { ...batch, team: 'studio', kind: NOISY_KIND, parameters: parametersOf(LARGE_FACTOR) },
            {
              ...batch,
              team: 'banquet',
              kind: OVERNIGHT_KIND,
              parameters: parametersOf(SMALL_FACTOR),
            },
          ],
          intervalMs: JOB_INTERVAL_MS,
          durationMs: SUBMIT_MS,
        });
        await sleep(LEARNING_MS - SUBMIT_MS);
        const fromMs = clock.now();
        await sleep(MEASURED_MS);
        const toMs = clock.now();
        // Work counts only once its task has completed; the part after the window is cut off.
        await sleep(COMPLETION_MS);
        const log = await cluster.readExecutionLog();
        const histories = historiesOf(log, [NOISY_KIND, OVERNIGHT_KIND]);
        const trueWork = [...histories.values()]
          .map((history) => trueMillicoreMs(history, fromMs, toMs))
          .reduce((sum, work) => sum + work, 0);
        const oracle = AGENTS * CAPACITY.processorMillicores * (toMs - fromMs);
        return {
          load: { agents: AGENTS, largeFactor: LARGE_FACTOR, smallFactor: SMALL_FACTOR },
          figures: {
            overCapacity: countEvents(log, ExecutionEvent.OverCapacity),
            workOverOracle: trueWork / oracle,
            ...repetitionFigures(histories),
          },
        };
      },
    ),
};

/** True work of a completed task that falls into the window, whatever slowed the task down. */
function trueMillicoreMs(history: TaskHistory, fromMs: number, toMs: number): number {
  const { completedAtMs, firstStartAtMs, kind } = history;
  if (completedAtMs === null) {
    return 0;
  }
  const overlapMs = Math.min(completedAtMs, toMs) - Math.max(firstStartAtMs, fromMs);
  const fraction = Math.max(0, overlapMs) / (completedAtMs - firstStartAtMs);
  const factor = kind === NOISY_KIND ? LARGE_FACTOR : SMALL_FACTOR;
  return fraction * TASK_DURATION_MS * DECLARED.processorMillicores * factor;
}
