/**
 * Stands for the growth to the target size, which does not fit on one machine: the same light load per VM
 * at three fleet sizes. Shows how the cost of an entry, of an agent and of the table grows per VM, so that
 * the capacity calculations rest on measured slopes.
 */
import type { Cluster } from '@figjunction/test-support';
import { sleep } from '@figjunction/time';
import { submitJobs } from '../batch-load.js';
import { fitLine, mean } from '../line-fit.js';
import { withMeasuredCluster } from '../measured-cluster.js';
import { processorMs, residentMegabytes } from '../process-usage.js';
import type { Figures, Scenario, ScenarioRun } from '../scenario.js';
import { OVERNIGHT_KIND } from '../workload.js';

const FLEET_SIZES = [4, 8, 16];
const TASKS_PER_AGENT = 4;
const TASK_DURATION_MS = 60_000;
const SETTLING_MS = 5_000;
const MEASURED_MS = 6_000;
const MILLISECONDS_PER_SECOND = 1_000;
const PERCENT = 100;
const MEASURED_SECONDS = MEASURED_MS / MILLISECONDS_PER_SECOND;

/** Costs at one fleet size. */
interface FleetCost {
  agents: number;
  entryPercentOfCore: number;
  entryMegabytes: number;
  agentPercentOfCore: number;
  agentMegabytes: number;
  transactionsPerSecond: number;
  readsPerSecond: number;
  rowsReadPerSecond: number;
}

export const slopes: Scenario = {
  name: 'slopes',
  summary: 'cost of entry, agent and table at three fleet sizes, and its growth per VM',
  async run(run) {
    const costs: FleetCost[] = [];
    for (const agents of FLEET_SIZES) {
      costs.push(await measureFleet(run, agents));
    }
    return {
      load: { fleetSizes: FLEET_SIZES.join(', '), tasksPerAgent: TASKS_PER_AGENT },
      figures: figuresOf(costs),
    };
  },
};

function measureFleet(run: ScenarioRun, agents: number): Promise<FleetCost> {
  return withMeasuredCluster(
    { run, cluster: { agents }, workload: { instances: agents, teams: ['hotel', 'banquet'] } },
    async (cluster) => {
      await submitJobs({
        cluster,
        label: 'slopes',
        waves: [
          {
            team: 'banquet',
            kind: OVERNIGHT_KIND,
            tasksPerJob: TASKS_PER_AGENT * agents,
            parameters: { durationMs: String(TASK_DURATION_MS) },
          },
        ],
        intervalMs: 1,
        durationMs: 1,
      });
      await sleep(SETTLING_MS);
      return measureCost(cluster, agents);
    },
  );
}

async function measureCost(cluster: Cluster, agents: number): Promise<FleetCost> {
  const entryPids = cluster.entries.map(({ pid }) => pid);
  const agentPids = cluster.agents.map(({ pid }) => pid);
  await cluster.platformControl.resetStats();
  const entryBefore = entryPids.map(processorMs);
  const agentBefore = agentPids.map(processorMs);
  await sleep(MEASURED_MS);
  const stats = await cluster.platformControl.readStats();
  const percentOf = (pids: number[], before: number[]): number =>
    (mean(pids.map((pid, index) => processorMs(pid) - (before[index] ?? 0))) / MEASURED_MS) *
    PERCENT;
  return {
    agents,
    entryPercentOfCore: percentOf(entryPids, entryBefore),
    entryMegabytes: mean(entryPids.map(residentMegabytes)),
    agentPercentOfCore: percentOf(agentPids, agentBefore),
    agentMegabytes: mean(agentPids.map(residentMegabytes)),
    transactionsPerSecond: stats.transactions / MEASURED_SECONDS,
    readsPerSecond: stats.reads / MEASURED_SECONDS,
    rowsReadPerSecond: stats.rowsRead / MEASURED_SECONDS,
  };
}

function figuresOf(costs: FleetCost[]): Figures {
  const figures: Figures = {};
  const names = Object.keys(costs[0] ?? {}).filter((name) => name !== 'agents');
  for (const name of names as (keyof FleetCost)[]) {
    costs.forEach((cost) => {
      figures[`${name}At${cost.agents}`] = cost[name];
    });
    const points = costs.map((cost) => ({ x: cost.agents, y: cost[name] }));
    figures[`${name}PerVm`] = fitLine(points).slope;
  }
  return figures;
}
