/**
 * Stands for an entry that hears many agents: heartbeats of VMs at the target size that change at a realistic
 * rate, sent once a second by a load generator to one real entry. The baseline sends the whole state each
 * time. Shows processor time, memory and bytes on the wire, headers included, per agent.
 */
import { RandomSource, sleep } from '@figjunction/time';
import { HeartbeatSender } from '../heartbeats/heartbeat-sender.js';
import { SimulatedVm } from '../heartbeats/simulated-vm.js';
import { withMeasuredCluster } from '../measured-cluster.js';
import { processorMs, residentMegabytes } from '../process-usage.js';
import { Policy } from '../scenario.js';
import type { Figures, Scenario, ScenarioRun } from '../scenario.js';

const AGENT_COUNTS = [50, 100, 200];

/** Sent as fast as they are answered, so that the measured seconds show the steady state. */
const WARM_UP_SECONDS = 10;

/** The period in which each VM exchanges a run and announces its measurements. */
const MEASURED_SECONDS = 10;
const INTERVAL_MS = 1_000;
const PERCENT = 100;

interface AnnouncementCost {
  agents: number;
  percentOfCore: number;
  megabytes: number;
  bytesPerHeartbeat: number;
  refused: number;
}

export const heartbeatSlopes: Scenario = {
  name: 'heartbeat-slopes',
  summary: 'cost of an entry for each agent it hears, at three numbers of agents',
  run: (run) =>
    withMeasuredCluster(
      { run, cluster: { entries: 1, agents: 0 }, workload: { instances: 0, teams: ['hotel'] } },
      async (cluster) => {
        const costs: AnnouncementCost[] = [];
        for (const agents of AGENT_COUNTS) {
          const [entry] = cluster.entries;
          costs.push(
            await measureAnnouncements(entry?.address ?? '', entry?.pid ?? 0, agents, run),
          );
        }
        return {
          load: { agentCounts: AGENT_COUNTS.join(', '), intervalMs: INTERVAL_MS },
          figures: figuresOf(costs),
        };
      },
    ),
};

async function measureAnnouncements(
  address: string,
  pid: number,
  agents: number,
  run: ScenarioRun,
): Promise<AnnouncementCost> {
  const sender = createSender(address, agents, run);
  for (let second = 1; second <= WARM_UP_SECONDS; second += 1) {
    await sender.announceAll(second);
  }
  const [processorBefore, bytesBefore] = [processorMs(pid), sender.bytes()];
  for (let second = 1; second <= MEASURED_SECONDS; second += 1) {
    await Promise.all([sender.announceAll(WARM_UP_SECONDS + second), sleep(INTERVAL_MS)]);
  }
  const usedMs = processorMs(pid) - processorBefore;
  const bytes = sender.bytes() - bytesBefore;
  sender.close();
  return {
    agents,
    percentOfCore: (usedMs * PERCENT) / (MEASURED_SECONDS * INTERVAL_MS),
    megabytes: residentMegabytes(pid),
    bytesPerHeartbeat: bytes / (MEASURED_SECONDS * agents),
    refused: sender.refused,
  };
}

function createSender(address: string, agents: number, run: ScenarioRun): HeartbeatSender {
  const onlyChanges = run.policy !== Policy.Baseline;
  const random = new RandomSource(run.seed);
  const vms = Array.from(
    { length: agents },
    (_value, index) => new SimulatedVm(`vm-${agents}-${index}`, index, random, onlyChanges),
  );
  return new HeartbeatSender(address, vms, onlyChanges);
}

function figuresOf(costs: AnnouncementCost[]): Figures {
  const figures: Figures = {};
  for (const cost of costs) {
    figures[`percentOfCoreAt${cost.agents}`] = cost.percentOfCore;
    figures[`megabytesAt${cost.agents}`] = cost.megabytes;
    figures[`bytesPerHeartbeatAt${cost.agents}`] = cost.bytesPerHeartbeat;
    figures[`heartbeatsRefusedAt${cost.agents}`] = cost.refused;
  }
  const [first, last] = [costs[0], costs[costs.length - 1]];
  if (first !== undefined && last !== undefined) {
    const agents = last.agents - first.agents;
    figures.percentOfCorePerAgent = (last.percentOfCore - first.percentOfCore) / agents;
    figures.megabytesPerAgent = (last.megabytes - first.megabytes) / agents;
  }
  return figures;
}
