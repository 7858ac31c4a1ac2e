/**
 * Entries and fake agents with a manual clock and one fake table, for tests of the task systems.
 */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { entrySettingsSchema } from '@figjunction/config';
import type { OperatorConfiguration } from '@figjunction/config';
import { createLogger } from '@figjunction/logger';
import type { RpcHandlers } from '@figjunction/rpc';
import { FakePlatform, MemoryObjectStore, MemoryTableService } from '@figjunction/test-support';
import { ManualClock, TickLoop } from '@figjunction/time';
import { Role, RpcMethod, TASK_PREFIX } from '@figjunction/types';
import type { RpcMethods, SubmittedJob, TaskReport, TaskRow } from '@figjunction/types';
import { createEntryContext } from '../../entry-context.js';
import type { EntryContext } from '../../entry-context.js';
import type { TaskContext } from '../task-context.js';
import { createTaskParts } from '../task-module.js';
import { submitJob } from '../job-submission.js';
import { FakeAgent } from './agent-fake.test.js';
import type { AgentFakeOptions } from './agent-fake.test.js';
import { configurationWith } from './configuration-with.test.js';
import { TransitionLog } from './transition-log.test.js';

export const TICK_MS = 50;
const LEASE_RENEWAL_MS = 3_000;
const TURNS_PER_TICK = 12;

export const OPERATOR_TOKEN = 'shared-token-of-a-test';

/** One entry with its systems; its peers and heartbeats are set by the test. */
export interface TestEntry {
  context: EntryContext;
  tasks: TaskContext;
  loop: TickLoop;
  handlers: RpcHandlers;
}

export class TaskFixture {
  readonly clock = new ManualClock(1_000_000);

  readonly platform = new FakePlatform(
    { transactionsPerSecond: 1e6, readsPerSecond: 1e6 },
    this.clock,
  );

  readonly table = new MemoryTableService(this.platform);

  readonly entries: TestEntry[] = [];

  readonly agents: FakeAgent[] = [];

  /** Agents whose lease is renewed and whose heartbeats arrive. */
  readonly alive = new Set<FakeAgent>();

  private readonly log = new TransitionLog(this.platform);

  /** Changes of rows that no legal transition allows. */
  readonly illegal = this.log.illegal;

  /** Every committed change of a task row, in order. */
  readonly changes = this.log.changes;

  /** While true, agents send no heartbeats and entries keep the last ones received. */
  heartbeatsPaused = false;

  /** Agents that send heartbeats but do not renew their lease. */
  readonly agentsWithoutRenewal = new Set<FakeAgent>();

  private revision = 0;

  private nextRenewal = 0;

  /** Learning is off by default, so that tests can rely on declared sizes. */
  policy: Record<string, unknown> = { learning: false };

  constructor(readonly configuration: OperatorConfiguration = configurationWith()) {}

  addEntry(entryId: string): TestEntry {
    const context = createEntryContext({
      settings: entrySettingsSchema.parse({
        entryId,
        location: { region: 'marmara', dataCentre: 'istanbul', rack: 'r0' },
        platformAddress: 'http://127.0.0.1:1',
        sharedToken: OPERATOR_TOKEN,
        seed: this.entries.length + 1,
        policy: this.policy,
      }),
      logger: createLogger({ name: entryId, level: 'silent' }),
      table: this.table,
      objects: new MemoryObjectStore(this.platform),
      clock: this.clock,
    });
    context.rpc.call = this.callAgent.bind(this) as typeof context.rpc.call;
    context.peers.setOwnAddress(`http://${entryId}`);
    const { module, context: tasks } = createTaskParts(context);
    const loop = new TickLoop({ clock: this.clock, systems: module.systems ?? [] });
    const entry = { context, tasks, loop, handlers: module.rpcHandlers ?? {} };
    this.entries.push(entry);
    this.applyTo(entry, this.configuration, 1);
    this.revision = Math.max(this.revision, 1);
    return entry;
  }

  apply(configuration: OperatorConfiguration): void {
    this.revision += 1;
    for (const entry of this.entries) {
      this.applyTo(entry, configuration, this.revision);
    }
  }

  async addAgent(options: Omit<AgentFakeOptions, 'table' | 'clock'>): Promise<FakeAgent> {
    const agent = new FakeAgent({ ...options, table: this.table, clock: this.clock });
    this.agents.push(agent);
    this.alive.add(agent);
    const acquired = this.renew(agent, true);
    await this.run(300);
    await acquired;
    return agent;
  }

  /** Advances the clock in ticks; entries run, and the agents in `alive` renew their leases and send heartbeats. */
  async run(milliseconds: number, entries: TestEntry[] = this.entries): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += TICK_MS) {
      this.clock.advance(TICK_MS);
      this.tickAgents();
      for (const entry of entries) {
        if (!this.platform.faults.outage) {
          entry.context.configuration.confirm(this.clock.now());
        }
        await entry.loop.tick();
      }
      await this.settle();
    }
  }

  async runUntil(condition: () => boolean | Promise<boolean>, limitMs = 60_000): Promise<void> {
    for (let passed = 0; passed < limitMs; passed += TICK_MS) {
      if (await condition()) {
        return;
      }
      await this.run(TICK_MS);
    }
    throw new Error('the condition did not hold in time');
  }

  async settle(): Promise<void> {
    for (let turn = 0; turn < TURNS_PER_TICK; turn += 1) {
      await nextTurn();
    }
  }

  async rows(): Promise<TaskRow[]> {
    const result = await this.platform.scan({ prefix: TASK_PREFIX, after: '', limit: 500 });
    return (result.result?.rows ?? []).map(({ value }) => value as TaskRow);
  }

  async report(reports: TaskReport[], entry = this.entries[0]): Promise<{ settled: boolean[] }> {
    const handler = entry?.handlers[RpcMethod.TaskReport];
    const agentId = reports[0]?.holder.agentId ?? '';
    const pending = handler?.({ agentId, reports }, { headers: {} });
    await this.run(1_000);
    return (await pending) ?? { settled: [] };
  }

  heartbeat(agent: FakeAgent, entries: TestEntry[] = this.entries): void {
    const heartbeat = agent.heartbeat();
    for (const { context } of entries) {
      context.agents.accept(heartbeat, this.clock.now());
    }
  }

  async renew(agent: FakeAgent, acquire = false): Promise<{ renewed: boolean }> {
    const handler = this.entries[0]?.handlers[RpcMethod.LeaseRenew];
    const { agentId } = agent.options;
    const { incarnation } = agent;
    return (
      (await handler?.({ agentId, incarnation, acquire }, { headers: {} })) ?? { renewed: false }
    );
  }

  private applyTo(
    { context }: TestEntry,
    configuration: OperatorConfiguration,
    revision: number,
  ): void {
    context.configuration.accept({ revision, bodyHash: String(revision), body: '', configuration });
    context.configuration.confirm(this.clock.now());
  }

  private tickAgents(): void {
    const renewalDue = this.clock.now() >= this.nextRenewal;
    if (renewalDue) {
      this.nextRenewal = this.clock.now() + LEASE_RENEWAL_MS;
    }
    for (const agent of this.alive) {
      if (!this.heartbeatsPaused) {
        this.heartbeat(agent);
      }
      if (renewalDue && !this.agentsWithoutRenewal.has(agent)) {
        this.renew(agent).catch(() => {});
      }
    }
  }

  private async callAgent<Method extends RpcMethod>(
    address: string,
    method: Method,
    parameters: RpcMethods[Method]['parameters'],
  ): Promise<unknown> {
    const agent = this.agents.find((candidate) => candidate.address === address);
    if (agent === undefined || !this.alive.has(agent)) {
      throw new Error(`${address} is not reachable`);
    }
    return agent.call(method, parameters);
  }
}

const OPERATOR = { role: Role.Operator as const, name: 'tests' };

/** Submits a job through an entry and lets half a second pass. */
export async function submitTasks(
  fixture: TaskFixture,
  entry: TestEntry,
  names: string[],
  overrides: Record<string, unknown> = {},
  entries: TestEntry[] = fixture.entries,
): Promise<SubmittedJob> {
  const pending = submitJob(entry.tasks, OPERATOR, {
    jobId: 'job-1',
    team: 'kitchen',
    kind: 'labels',
    tasks: names.map((name) => ({ name })),
    ...overrides,
  });
  // The promise may reject before the caller awaits it; this prevents an unhandled rejection.
  const settled = Promise.allSettled([pending]);
  await fixture.run(500, entries);
  await settled;
  return pending;
}
