/**
 * A cluster of real processes that runs batch work, for the proofs about runs.
 */
import { createHash } from 'node:crypto';
import { ExecutionEvent, startCluster, waitUntil } from '@figjunction/test-support';
import type { Cluster, ClusterOptions, ExecutionRecord } from '@figjunction/test-support';
import { AgentState, TaskState } from '@figjunction/types';
import { ProofError } from './execution-intervals.js';

const TEAM_TOKEN = 'team-token-of-a-proof';
const OPERATOR_TOKEN = 'operator-token-of-a-proof';
const TEAM = 'kitchen';
const KIND = 'menus';
const COMPLETION_TIMEOUT_MS = 90_000;
const AGENT_PREFIX = 'vm-';
const POLL_MS = 100;

const CONFIGURATION = {
  urgencyClasses: [{ name: 'overnight', rank: 1, guaranteedShare: 0.1 }],
  batchKinds: [
    {
      name: KIND,
      urgency: 'overnight',
      size: { processorMillicores: 2_000, memoryMegabytes: 256 },
    },
  ],
  teams: [
    {
      name: TEAM,
      urgencies: ['overnight'],
      runningTasks: 1_000,
      tokens: [{ sha256: sha256(TEAM_TOKEN) }],
    },
  ],
  operators: [{ name: 'proofs', tokens: [{ sha256: sha256(OPERATOR_TOKEN) }] }],
};

export interface JobCounts {
  counts: Partial<Record<TaskState, number>>;
  tasks: { taskId: string; state: TaskState; holder: string | null; attempt: number }[];
}

export class BatchCluster {
  private constructor(readonly processes: Cluster) {}

  static async start(options: ClusterOptions = {}): Promise<BatchCluster> {
    // Sizes are declared correctly here, so nothing has to be learnt before work may share a VM.
    const processes = await startCluster({ ...options, policy: { learning: false } });
    const cluster = new BatchCluster(processes);
    await processes.apply(CONFIGURATION);
    processes.operatorToken = OPERATOR_TOKEN;
    await waitUntil(() => cluster.everyEntryKnowsTheTeam(), { what: 'entries know the team' });
    return cluster;
  }

  /** Submits runs of one duration and returns their task ids. */
  async submit(
    jobId: string,
    count: number,
    durationMs: number,
    entryIndex = 0,
  ): Promise<string[]> {
    const names = Array.from({ length: count }, (_, index) => `t${index}`);
    const tasks = names.map((name) => ({ name, parameters: { durationMs: String(durationMs) } }));
    const client = this.processes.entryClient(entryIndex);
    await client.submit({ jobId, team: TEAM, kind: KIND, tasks }, TEAM_TOKEN);
    return names.map((name) => `${TEAM}.${jobId}.${name}`);
  }

  async readJob(jobId: string, entryIndex = 0): Promise<JobCounts> {
    return (await this.processes.entryClient(entryIndex).readJob(jobId, TEAM_TOKEN)) as JobCounts;
  }

  /** Indices of the agents that hold runs of a job, the one with most runs first. */
  async holdersOf(jobId: string): Promise<number[]> {
    const { tasks } = await this.readJob(jobId);
    const counts = new Map<number, number>();
    for (const { holder } of tasks) {
      if (holder !== null) {
        const index = Number(holder.slice(AGENT_PREFIX.length)) - 1;
        counts.set(index, (counts.get(index) ?? 0) + 1);
      }
    }
    return [...counts].sort(([, left], [, right]) => right - left).map(([index]) => index);
  }

  async cancel(jobId: string, entryIndex = 0): Promise<void> {
    await this.processes.entryClient(entryIndex).cancel(jobId, TEAM_TOKEN);
  }

  /** Starts or ends the drain of a VM. */
  async drain(agentIndex: number, drain: boolean, entryIndex = 0): Promise<void> {
    const path = `/v1/vms/vm-${agentIndex + 1}/drain`;
    const client = this.processes.entryClient(entryIndex);
    const answer = await client.call(drain ? 'POST' : 'DELETE', path, OPERATOR_TOKEN, {});
    if (answer.status !== 200) {
      throw new ProofError(`the drain of vm-${agentIndex + 1} got status ${answer.status}`);
    }
  }

  /** Waits until the given number of a job's runs have a state. */
  async waitForState(
    jobId: string,
    state: TaskState,
    count: number,
    entryIndex = 0,
  ): Promise<void> {
    const hasCount = ({ counts }: JobCounts): boolean => (counts[state] ?? 0) >= count;
    await this.waitForJob(jobId, hasCount, `${count} runs of ${jobId} are ${state}`, entryIndex);
  }

  async waitForJob(
    jobId: string,
    condition: (job: JobCounts) => boolean,
    what: string,
    entryIndex = 0,
  ): Promise<void> {
    await waitUntil(async () => condition(await this.readJob(jobId, entryIndex)), {
      timeoutMs: COMPLETION_TIMEOUT_MS,
      intervalMs: POLL_MS,
      what,
    });
  }

  /** Waits until workers executed the given number of starts; a claimed run may not have started yet. */
  async waitForStarts(count: number): Promise<void> {
    const isStart = ({ event }: ExecutionRecord): boolean => event === ExecutionEvent.TaskStart;
    await waitUntil(async () => (await this.readLog()).filter(isStart).length >= count, {
      timeoutMs: COMPLETION_TIMEOUT_MS,
      intervalMs: POLL_MS,
      what: `workers started ${count} runs`,
    });
  }

  /** Agents that an entry does not know, or that have no configuration yet, are given no runs. */
  async waitForAgents(count: number): Promise<void> {
    const readyAgents = async (entryIndex: number): Promise<number> => {
      const { agents } = await this.processes.entryClient(entryIndex).readStatus(OPERATOR_TOKEN);
      const ready = agents.filter(
        ({ state, confirmed }) => state === AgentState.Serving && confirmed,
      );
      return ready.length;
    };
    await waitUntil(
      async () => {
        const entries = this.processes.entries.map((_entry, index) => readyAgents(index));
        return (await Promise.all(entries)).every((ready) => ready === count);
      },
      { timeoutMs: COMPLETION_TIMEOUT_MS, intervalMs: POLL_MS, what: `${count} agents are ready` },
    );
  }

  readLog(): Promise<ExecutionRecord[]> {
    return this.processes.readExecutionLog();
  }

  /** Index of the entry whose own metrics show that it claimed runs. */
  async placingEntry(): Promise<number> {
    const claims = await Promise.all(
      this.processes.entries.map((_entry, index) => this.claimsOf(index)),
    );
    const index = claims.findIndex((count) => count > 0);
    if (index < 0) {
      throw new ProofError('no entry has claimed a run');
    }
    return index;
  }

  close(): Promise<void> {
    return this.processes.close();
  }

  private async claimsOf(entryIndex: number): Promise<number> {
    const client = this.processes.entryClient(entryIndex);
    const { body } = await client.call('GET', '/metrics', OPERATOR_TOKEN);
    const line = /^claims_total (?<count>\d+)$/mu.exec(body.toString('utf8'));
    return Number(line?.groups?.count ?? 0);
  }

  private async everyEntryKnowsTheTeam(): Promise<boolean> {
    const answers = await Promise.all(
      this.processes.entries.map((_entry, index) =>
        this.processes.entryClient(index).call('GET', '/v1/runs', TEAM_TOKEN),
      ),
    );
    return answers.every(({ status }) => status === 200);
  }
}

export type BatchScenario = (cluster: BatchCluster) => Promise<void>;

export interface BatchCase {
  scenario: BatchScenario;
  options: ClusterOptions;
}

/** Runs each scenario on a cluster of its own, all at once, and fails when one of them does. */
export async function runScenarios(cases: BatchCase[]): Promise<void> {
  const results = await Promise.allSettled(
    cases.map(async ({ scenario, options }) => {
      const cluster = await BatchCluster.start(options);
      try {
        await scenario(cluster);
      } finally {
        await cluster.close();
      }
    }),
  );
  const failures = results.flatMap((result, index) =>
    result.status === 'rejected'
      ? [`${cases[index]?.scenario.name}: ${(result.reason as Error).message}`]
      : [],
  );
  if (failures.length > 0) {
    throw new ProofError(failures.join('\n'));
  }
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
