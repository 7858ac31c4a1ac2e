/**
 * Stands for the growth of the configuration: the same small change applied again and again at three
 * numbers of services. Shows what one change costs in bytes from the platform and to agents, in processor
 * time of entries and agents, and how long it takes until it is in force everywhere. The services declare
 * no instances, so that a change moves no tasks.
 */
import { Agent, request } from 'node:http';
import type { Socket } from 'node:net';
import { RPC_PATH, bearerHeader } from '@figjunction/rpc';
import { TEST_SHARED_TOKEN, isInForce, waitUntil } from '@figjunction/test-support';
import type { Cluster, ClusterStatus } from '@figjunction/test-support';
import { RandomSource, sleep } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import { Latency } from '../latency.js';
import { mean, slopeFigures } from '../line-fit.js';
import { withMeasuredCluster } from '../measured-cluster.js';
import { processorMs } from '../process-usage.js';
import type { Figures, Scenario, ScenarioRun } from '../scenario.js';
import { OPERATOR_TOKEN, createConfiguration } from '../workload.js';
import type { ConfigurationInput } from '../workload.js';

const SERVICE_COUNTS = [10, 40, 160];
const ENTRIES = 2;
const AGENTS = 4;
const CHANGES = 6;
const TEAMS = ['hotel', 'banquet', 'school'];
/** Also the resolution of the time until a change is in force. */
const POLL_MS = 25;
const IDLE_MS = 3_000;
/** Changes come at random phases of the polls and heartbeats, which repeat each second. */
const PAUSE_MS_MAXIMUM = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const CHANGE_TIMEOUT_MS = 10_000;
const FIRST_TIMEOUT_MS = 5_000;

/** Processor time since the start of the processes, and time of day, at one moment. */
interface Usage {
  atMs: number;
  entryMs: number;
  agentMs: number;
}

export const changeSlopes: Scenario = {
  name: 'change-slopes',
  summary: 'cost of a configuration change at three sizes of configuration',
  async run(run) {
    const costs: { size: number; figures: Figures }[] = [];
    for (const size of SERVICE_COUNTS) {
      costs.push({ size, figures: await measureChanges(run, size) });
    }
    return {
      load: {
        serviceCounts: SERVICE_COUNTS.join(', '),
        changes: CHANGES,
        entries: ENTRIES,
        agents: AGENTS,
      },
      figures: slopeFigures('Service', costs),
    };
  },
};

function measureChanges(run: ScenarioRun, services: number): Promise<Figures> {
  return withMeasuredCluster(
    {
      run,
      cluster: { entries: ENTRIES, agents: AGENTS },
      workload: { instances: 0, teams: TEAMS },
    },
    async (cluster) => {
      await applyAndWait(cluster, services, 0);
      const idleRate = await measureIdle(cluster);
      await cluster.platformControl.resetStats();
      const before = usageOf(cluster);
      const latency = new Latency();
      const random = new RandomSource(run.seed);
      for (let change = 1; change <= CHANGES; change += 1) {
        await pollStatus(cluster, random.fraction() * PAUSE_MS_MAXIMUM);
        latency.record(await applyAndWait(cluster, services, change));
      }
      const after = usageOf(cluster);
      const stats = await cluster.platformControl.readStats();
      const elapsedMs = after.atMs - before.atMs;
      const fetchBytes = await sliceFetchBytes(cluster);
      return {
        bodyBytes: JSON.stringify(configurationOf(services, 0), null, 2).length,
        objectBytesRead: stats.objectBytesRead / CHANGES,
        objectsRead: stats.objectsRead / CHANGES,
        tableBytesRead: stats.tableBytesRead / CHANGES,
        tableBytesReadPerSecond: (stats.tableBytesRead * MILLISECONDS_PER_SECOND) / elapsedMs,
        configurationRowsWritten: (stats.rowsWrittenByPrefix.configuration ?? 0) / CHANGES,
        sliceBytesPerAgent: fetchBytes,
        entryProcessorMs:
          (after.entryMs - before.entryMs - idleRate.entry * elapsedMs) / (CHANGES * ENTRIES),
        agentProcessorMs:
          (after.agentMs - before.agentMs - idleRate.agent * elapsedMs) / (CHANGES * AGENTS),
        ...latency.figures('inForce'),
        inForceMaximumMs: latency.maximumMs,
      };
    },
  );
}

/** Processor time per millisecond without changes, under the same polling of the status. */
async function measureIdle(cluster: Cluster): Promise<{ entry: number; agent: number }> {
  const before = usageOf(cluster);
  await pollStatus(cluster, IDLE_MS);
  const after = usageOf(cluster);
  const elapsedMs = after.atMs - before.atMs;
  return {
    entry: (after.entryMs - before.entryMs) / elapsedMs,
    agent: (after.agentMs - before.agentMs) / elapsedMs,
  };
}

/** Keeps the cost of polling the same with and without changes. */
async function pollStatus(cluster: Cluster, durationMs: number): Promise<void> {
  const startedAt = performance.now();
  while (performance.now() - startedAt < durationMs) {
    await readStatus(cluster);
    await sleep(POLL_MS);
  }
}

/** Time from the call of `apply` until every process has the revision in force and confirmed. */
async function applyAndWait(cluster: Cluster, services: number, change: number): Promise<number> {
  const startedAt = performance.now();
  const revision = await cluster.apply(configurationOf(services, change));
  const expected = { entries: ENTRIES, agents: AGENTS };
  await waitUntil(async () => isInForce(await readStatus(cluster), revision, expected), {
    timeoutMs: CHANGE_TIMEOUT_MS,
    intervalMs: POLL_MS,
    what: `revision ${revision} is in force everywhere`,
  });
  return performance.now() - startedAt;
}

function readStatus(cluster: Cluster): Promise<ClusterStatus> {
  return cluster.entryClient().readStatus(OPERATOR_TOKEN);
}

/** The change is a timeout of the first service. */
function configurationOf(services: number, change: number): ConfigurationInput {
  const configuration = createConfiguration({ instances: 0, teams: TEAMS });
  const [template] = configuration.services ?? [];
  if (template !== undefined) {
    configuration.services = Array.from({ length: services }, (_value, index) => ({
      ...template,
      name: `service-${index + 1}`,
      timeoutMs: FIRST_TIMEOUT_MS + (index === 0 ? change : 0),
    }));
  }
  return configuration;
}

function usageOf(cluster: Cluster): Usage {
  const sum = (pids: number[]): number => mean(pids.map(processorMs)) * pids.length;
  return {
    atMs: performance.now(),
    entryMs: sum(cluster.entries.map(({ pid }) => pid)),
    agentMs: sum(cluster.agents.map(({ pid }) => pid)),
  };
}

/**
 * Bytes on the wire of the call with which an agent fetches its slice, headers of both directions
 * included. The call is made here, since an agent makes exactly one per revision.
 */
function sliceFetchBytes(cluster: Cluster): Promise<number> {
  const address = cluster.entries[0]?.address ?? '';
  const connections = new Agent({ keepAlive: true });
  const body = JSON.stringify({
    jsonrpc: '2.0',
    id: 1,
    method: RpcMethod.ConfigurationGet,
    params: { revision: 1, slice: true },
  });
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
    sent.on('error', reject);
    sent.on('response', (answer) => {
      const socket: Socket = answer.socket;
      answer.resume();
      answer.on('end', () => {
        resolve(socket.bytesRead + socket.bytesWritten);
        connections.destroy();
      });
    });
    sent.end(body);
  });
}
