/**
 * Stands for an entry that hears many agents: heartbeats of the size that a VM has at the target (20 batch
 * runs and 4 instances), sent once a second by a load generator to one real entry. Shows processor time,
 * memory and bytes on the wire, headers included, per agent.
 */
import { Agent, request } from 'node:http';
import type { Socket } from 'node:net';
import { RPC_PATH, bearerHeader } from '@figjunction/rpc';
import { TEST_SHARED_TOKEN } from '@figjunction/test-support';
import { sleep } from '@figjunction/time';
import { AgentState, RpcMethod } from '@figjunction/types';
import type { HeartbeatParameters } from '@figjunction/types';
import { withMeasuredCluster } from '../measured-cluster.js';
import { processorMs, residentMegabytes } from '../process-usage.js';
import type { Figures, Scenario } from '../scenario.js';

const AGENT_COUNTS = [50, 100, 200];
const TASKS_PER_AGENT = 20;
const INSTANCES_PER_AGENT = 4;
const HEARTBEATS = 8;
const INTERVAL_MS = 1_000;
const PERCENT = 100;
const CAPACITY = { processorMillicores: 16_000, memoryMegabytes: 61_440, accelerators: 0 };
const LOCATION = { region: 'marmara', dataCentre: 'istanbul', rack: 'istanbul-1' };

interface AnnouncementCost {
  agents: number;
  percentOfCore: number;
  megabytes: number;
  bytesPerHeartbeat: number;
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
          costs.push(await measureAnnouncements(entry?.address ?? '', entry?.pid ?? 0, agents));
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
): Promise<AnnouncementCost> {
  const sockets = new Set<Socket>();
  const connections = new Agent({ keepAlive: true });
  await announceAll(address, agents, connections, sockets, 0);
  const [processorBefore, bytesBefore] = [processorMs(pid), bytesOf(sockets)];
  for (let round = 1; round <= HEARTBEATS; round += 1) {
    await Promise.all([
      announceAll(address, agents, connections, sockets, round),
      sleep(INTERVAL_MS),
    ]);
  }
  const usedMs = processorMs(pid) - processorBefore;
  const bytes = bytesOf(sockets) - bytesBefore;
  connections.destroy();
  return {
    agents,
    percentOfCore: (usedMs * PERCENT) / (HEARTBEATS * INTERVAL_MS),
    megabytes: residentMegabytes(pid),
    bytesPerHeartbeat: bytes / (HEARTBEATS * agents),
  };
}

async function announceAll(
  address: string,
  agents: number,
  connections: Agent,
  sockets: Set<Socket>,
  round: number,
): Promise<void> {
  const all = Array.from({ length: agents }, (_value, index) => {
    const heartbeat = createHeartbeat(`vm-${agents}-${index}`, round + 1);
    return post(address, heartbeat, connections, sockets);
  });
  await Promise.all(all);
}

function post(
  address: string,
  heartbeat: HeartbeatParameters,
  connections: Agent,
  sockets: Set<Socket>,
): Promise<void> {
  const method = RpcMethod.AgentHeartbeat;
  const body = JSON.stringify({ jsonrpc: '2.0', id: 1, method, params: heartbeat });
  return new Promise((resolve, reject) => {
    const sent = request(`${address}${RPC_PATH}`, {
      method: 'POST',
      agent: connections,
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
        authorization: bearerHeader(TEST_SHARED_TOKEN),
      },
    });
    sent.on('socket', (socket) => sockets.add(socket));
    sent.on('error', reject);
    sent.on('response', (answer) => {
      answer.resume();
      answer.on('end', resolve);
    });
    sent.end(body);
  });
}

function createHeartbeat(agentId: string, sequence: number): HeartbeatParameters {
  const tasks = Array.from({ length: TASKS_PER_AGENT }, (_value, index) => ({
    taskId: `banquet.menus-${index}.t1`,
    attempt: 1,
  }));
  return {
    agentId,
    incarnation: 1,
    sequence,
    state: AgentState.Serving,
    address: 'http://127.0.0.1:1',
    location: LOCATION,
    capacity: CAPACITY,
    free: CAPACITY,
    instances: Array.from({ length: INSTANCES_PER_AGENT }, (_value, index) => ({
      taskId: `instance-labels-${index}`,
      service: 'labels',
      attempt: 1,
      slots: 8,
      slotsUsed: 1,
      connections: 64,
      connectionsUsed: 1,
      ready: false,
    })),
    tasks,
    usage: tasks.map(({ taskId }) => ({
      taskId,
      kind: 'menu-reprint',
      used: { processorMillicores: 500, memoryMegabytes: 512, accelerators: 0 },
      slowdown: null,
    })),
    wantsWork: false,
    revision: 1,
    confirmed: false,
  };
}

function bytesOf(sockets: Set<Socket>): number {
  return [...sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
}

function figuresOf(costs: AnnouncementCost[]): Figures {
  const figures: Figures = {};
  for (const cost of costs) {
    figures[`percentOfCoreAt${cost.agents}`] = cost.percentOfCore;
    figures[`megabytesAt${cost.agents}`] = cost.megabytes;
    figures[`bytesPerHeartbeatAt${cost.agents}`] = cost.bytesPerHeartbeat;
  }
  const [first, last] = [costs[0], costs[costs.length - 1]];
  if (first !== undefined && last !== undefined) {
    const agents = last.agents - first.agents;
    figures.percentOfCorePerAgent = (last.percentOfCore - first.percentOfCore) / agents;
    figures.megabytesPerAgent = (last.megabytes - first.megabytes) / agents;
  }
  return figures;
}
