/**
 * Stands for a normal night at Karaca: label requests arrive steadily while overnight reprints fill the
 * rest of the VMs. Shows how much batch work costs the interactive tail, and how much of the remaining
 * capacity batch work gets.
 */
import { SystemClock } from '@figjunction/time';
import { submitJobs } from '../batch-load.js';
import { completionsBetween, historiesOf, repetitionFigures } from '../execution-figures.js';
import { withMeasuredCluster } from '../measured-cluster.js';
import type { Scenario } from '../scenario.js';
import { loadFigures, loadService } from '../service-load.js';
import { OVERNIGHT_KIND } from '../workload.js';

const AGENTS = 6;
const INSTANCES = 6;
const CAPACITY = { processorMillicores: 8_000, memoryMegabytes: 32_000, accelerators: 0 };
const INSTANCE_MILLICORES = 2_000;
const RATE = 200;
/** Cold processes answer several times slower, which would make the mixed tail look good. */
const WARM_UP_MS = 5_000;
const ALONE_MS = 8_000;
const SETTLING_MS = 10_000;
const MIXED_MS = 15_000;
const TASK_SIZE = { processorMillicores: 500, memoryMegabytes: 512, accelerators: 0 };
const TASK_DURATION_MS = 4_000;
const JOB_INTERVAL_MS = 500;
const TASKS_PER_JOB = 12;

export const steadyMix: Scenario = {
  name: 'steady-mix',
  summary: 'steady label requests while overnight reprints fill the VMs',
  run: (run) =>
    withMeasuredCluster(
      {
        run,
        cluster: { agents: AGENTS, capacity: CAPACITY },
        workload: {
          instances: INSTANCES,
          teams: ['hotel', 'banquet'],
          batchSize: TASK_SIZE,
        },
      },
      async (cluster) => {
        const clock = new SystemClock();
        const service = { cluster, team: 'hotel', ratePerSecond: RATE, seed: run.seed };
        await loadService({ ...service, label: 'warm-up', durationMs: WARM_UP_MS });
        const alone = await loadService({ ...service, label: 'alone', durationMs: ALONE_MS });
        const wave = {
          team: 'banquet',
          kind: OVERNIGHT_KIND,
          tasksPerJob: TASKS_PER_JOB,
          parameters: { durationMs: String(TASK_DURATION_MS) },
        };
        const batch = submitJobs({
          cluster,
          label: 'mix',
          waves: [wave],
          intervalMs: JOB_INTERVAL_MS,
          durationMs: SETTLING_MS + MIXED_MS,
        });
        await loadService({ ...service, label: 'settling', durationMs: SETTLING_MS });
        const fromMs = clock.now();
        const mixed = await loadService({ ...service, label: 'mixed', durationMs: MIXED_MS });
        const toMs = clock.now();
        await batch;
        const histories = historiesOf(await cluster.readExecutionLog(), [OVERNIGHT_KIND]);
        const completions = completionsBetween(histories, fromMs, toMs);
        const used =
          (completions * TASK_DURATION_MS * TASK_SIZE.processorMillicores) / (toMs - fromMs);
        const remaining = AGENTS * CAPACITY.processorMillicores - INSTANCES * INSTANCE_MILLICORES;
        const aloneP99 = alone.latency.percentileMs(99);
        const mixedP99 = mixed.latency.percentileMs(99);
        return {
          load: { requestsPerSecond: RATE, agents: AGENTS, instances: INSTANCES },
          figures: {
            ...loadFigures('alone', alone),
            ...loadFigures('mixed', mixed),
            mixedP99OverAlone: aloneP99 && mixedP99 ? mixedP99 / aloneP99 : null,
            batchShareOfRemainingCapacity: used / remaining,
            ...repetitionFigures(histories),
          },
        };
      },
    ),
};
