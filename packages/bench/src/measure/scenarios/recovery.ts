/**
 * Stands for the loss of a data centre: three of them, with three numbers of tasks, lose all processes of
 * their VMs at once, one after the other. Their tasks may then run in a fourth one only. Shows the load on
 * the table while leases are fenced and tasks requeued and placed again, and the time until it is over.
 * The losses are far enough apart that the recoveries do not overlap.
 */
import { HttpTableService } from '@figjunction/store';
import { agentIdOf, waitUntil } from '@figjunction/test-support';
import type { Cluster } from '@figjunction/test-support';
import { sleep } from '@figjunction/time';
import type { AgentId } from '@figjunction/types';
import { slopeFigures } from '../line-fit.js';
import { withMeasuredCluster } from '../measured-cluster.js';
import { peakLoad, takeSample } from '../recovery-timeline.js';
import type { KindCounts, RecoverySample } from '../recovery-timeline.js';
import type { Figures, Scenario } from '../scenario.js';
import { OVERNIGHT_KIND, createConfiguration, tokenOf } from '../workload.js';
import type { ConfigurationInput } from '../workload.js';

const TASK_COUNTS = [200, 400, 800];
const VMS_PER_LOST_CENTRE = 2;
const SURVIVORS = 4;
const ENTRIES = 2;
const TEAM_COUNT = 20;
const CAPACITY = { processorMillicores: 64_000, memoryMegabytes: 256_000, accelerators: 0 };
const TASK_SIZE = { processorMillicores: 20, memoryMegabytes: 32, accelerators: 0 };
const TASK_DURATION_MS = 600_000;
/** A lease expires 11 s after its last renewal is seen; each recovery has this long. */
const LOSS_INTERVAL_MS = 8_000;
const RUNNING_TIMEOUT_MS = 15_000;
const RECOVERY_TIMEOUT_MS = 40_000;
const SAMPLE_MS = 100;
/** Fences come shortly before the first requeued row. */
const PEAK_LEAD_MS = 1_500;
const PEAK_TRAIL_MS = 500;
const SURVIVING_CENTRE = 'survivors';

interface Loss {
  tasks: number;
  kind: string;
  agents: number[];
  lostAtMs: number;
}

export const recovery: Scenario = {
  name: 'recovery',
  summary: 'table load and time when all VMs of a data centre are lost, at three numbers of tasks',
  run: (run) => {
    const teams = Array.from({ length: TEAM_COUNT }, (_value, index) => `team-${index + 1}`);
    const centres = [
      ...TASK_COUNTS.flatMap((_tasks, index) =>
        Array.from({ length: VMS_PER_LOST_CENTRE }, () => centreOf(index)),
      ),
      ...Array.from({ length: SURVIVORS }, () => SURVIVING_CENTRE),
    ];
    const agentLocations = centres.map((dataCentre, index) => ({
      region: 'marmara',
      dataCentre,
      rack: `${dataCentre}-${index}`,
    }));
    return withMeasuredCluster(
      {
        run,
        cluster: { entries: ENTRIES, agents: centres.length, agentLocations, capacity: CAPACITY },
        workload: { instances: 0, teams },
      },
      async (cluster) => {
        await startTasks(cluster, teams);
        const { losses, samples } = await loseCentres(cluster);
        const costs = losses.map((loss) => ({
          size: loss.tasks,
          figures: figuresOf(loss, samples),
        }));
        return {
          load: {
            taskCounts: TASK_COUNTS.join(', '),
            vmsPerCentre: VMS_PER_LOST_CENTRE,
            survivors: SURVIVORS,
            entries: ENTRIES,
          },
          figures: {
            ...slopeFigures('Task', costs),
            refusedCalls: samples[samples.length - 1]?.throttled ?? null,
          },
        };
      },
    );
  },
};

function centreOf(index: number): string {
  return `centre-${index + 1}`;
}

function kindOf(index: number): string {
  return `reprint-${index + 1}`;
}

/** Every kind may run in one data centre only. */
function configurationWith(teams: string[], centre: (index: number) => string): ConfigurationInput {
  const configuration = createConfiguration({ instances: 0, teams, batchSize: TASK_SIZE });
  const template = configuration.batchKinds?.find(({ name }) => name === OVERNIGHT_KIND);
  if (template !== undefined) {
    configuration.batchKinds = TASK_COUNTS.map((_tasks, index) => ({
      ...template,
      name: kindOf(index),
      allowed: { dataCentres: [centre(index)] },
    }));
  }
  return configuration;
}

/** Starts the tasks of each kind in its data centre, then allows all kinds the surviving one only. */
async function startTasks(cluster: Cluster, teams: string[]): Promise<void> {
  const first = await cluster.apply(configurationWith(teams, centreOf));
  await cluster.waitUntilInForce(first);
  const submissions = TASK_COUNTS.flatMap((tasks, index) =>
    teams.map((team) =>
      cluster.entryClient(index % ENTRIES).submit(
        {
          jobId: kindOf(index),
          team,
          kind: kindOf(index),
          tasks: Array.from({ length: tasks / TEAM_COUNT }, (_value, task) => ({
            name: `t${task}`,
            parameters: { durationMs: String(TASK_DURATION_MS) },
          })),
        },
        tokenOf(team),
      ),
    ),
  );
  await Promise.all(submissions);
  const table = new HttpTableService({ address: cluster.platform.address });
  const allRun = async (): Promise<boolean> => {
    const { byKind } = await takeSample(cluster, table, new Set());
    return TASK_COUNTS.every((tasks, index) => byKind.get(kindOf(index))?.running === tasks);
  };
  try {
    await waitUntil(allRun, { timeoutMs: RUNNING_TIMEOUT_MS, what: 'all tasks run' });
  } finally {
    table.close();
  }
  const second = await cluster.apply(configurationWith(teams, () => SURVIVING_CENTRE));
  await cluster.waitUntilInForce(second);
}

async function loseCentres(
  cluster: Cluster,
): Promise<{ losses: Loss[]; samples: RecoverySample[] }> {
  const table = new HttpTableService({ address: cluster.platform.address });
  const losses: Loss[] = [];
  const samples: RecoverySample[] = [];
  const lostAgents = new Set<AgentId>();
  const startedAt = performance.now();
  await cluster.platformControl.resetStats();
  try {
    do {
      const next = losses.length;
      const isDue = performance.now() - startedAt >= next * LOSS_INTERVAL_MS;
      if (next < TASK_COUNTS.length && isDue) {
        losses.push(await loseCentre(cluster, next, lostAgents));
      }
      samples.push(await takeSample(cluster, table, lostAgents));
      await sleep(SAMPLE_MS);
    } while (!isOver(losses, samples) && performance.now() - startedAt < RECOVERY_TIMEOUT_MS);
  } finally {
    table.close();
  }
  return { losses, samples };
}

async function loseCentre(
  cluster: Cluster,
  index: number,
  lostAgents: Set<AgentId>,
): Promise<Loss> {
  const first = index * VMS_PER_LOST_CENTRE;
  const agents = Array.from({ length: VMS_PER_LOST_CENTRE }, (_value, vm) => first + vm);
  const lostAtMs = performance.now();
  await Promise.all(
    agents.flatMap((vm) => [cluster.agents[vm]?.kill(), cluster.workers[vm]?.kill()]),
  );
  agents.forEach((vm) => lostAgents.add(agentIdOf(vm)));
  return { tasks: TASK_COUNTS[index] ?? 0, kind: kindOf(index), agents, lostAtMs };
}

function isOver(losses: Loss[], samples: RecoverySample[]): boolean {
  const last = samples[samples.length - 1];
  return (
    losses.length === TASK_COUNTS.length &&
    losses.every(({ kind, tasks }) => last?.byKind.get(kind)?.running === tasks)
  );
}

function figuresOf({ kind, tasks, lostAtMs }: Loss, samples: RecoverySample[]): Figures {
  const firstAfter = (test: (counts: KindCounts) => boolean): number | null => {
    const found = samples.find(({ atMs, byKind }) => {
      const counts = byKind.get(kind);
      return atMs > lostAtMs && counts !== undefined && test(counts);
    });
    return found?.atMs ?? null;
  };
  const since = (atMs: number | null): number | null => (atMs === null ? null : atMs - lostAtMs);
  const requeuedFrom = firstAfter(({ lost }) => lost < tasks);
  const requeuedTo = firstAfter(({ lost }) => lost === 0);
  const runningAt = firstAfter(({ running }) => running === tasks);
  const isComplete = requeuedFrom !== null && runningAt !== null;
  const peak = isComplete
    ? peakLoad(samples, requeuedFrom - PEAK_LEAD_MS, runningAt + PEAK_TRAIL_MS)
    : null;
  return {
    firstRequeuedMs: since(requeuedFrom),
    allRequeuedMs: since(requeuedTo),
    allRunningMs: since(runningAt),
    requeueMs: requeuedFrom === null ? null : (requeuedTo ?? 0) - requeuedFrom,
    peakTransactionsPerSecond: peak?.transactionsPerSecond ?? null,
    peakRowsPerSecond: peak?.rowsPerSecond ?? null,
  };
}
