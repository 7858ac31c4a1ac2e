/**
 * Runs a complete agent with a fake platform, a fake worker and a fake entry, for the tests of this folder.
 */
import { randomUUID } from 'node:crypto';
import { agentSettingsSchema } from '@figjunction/config';
import type { PolicySettings } from '@figjunction/config';
import type { HttpServer } from '@figjunction/http';
import { createLogger } from '@figjunction/logger';
import { RpcClient } from '@figjunction/rpc';
import {
  FakePlatform,
  FakeWorker,
  MemoryTableService,
  createPlatformServer,
  waitUntil,
} from '@figjunction/test-support';
import type { ExecutionRecord, WorkerFaults } from '@figjunction/test-support';
import { LeaseState, RpcMethod, TaskState, TaskType, leaseKey } from '@figjunction/types';
import type { LeaseRow, Resources, RpcMethods, TaskRow } from '@figjunction/types';
import type { RunningDaemon } from '@figjunction/runtime';
import { createAgentContext } from '../agent-context.js';
import type { AgentContext } from '../agent-context.js';
import { startAgent } from '../agent-daemon.js';
import { FakeEntry, LOCATION, ONE_CORE, createTaskKey } from './fake-entry.test.js';
import { LocalWorker } from './local-worker.test.js';

const SHARED_TOKEN = 'shared-token-of-the-fixture';
export const AGENT_ID = 'vm-1';
export const CAPACITY: Resources = {
  processorMillicores: 16_000,
  memoryMegabytes: 16_000,
  accelerators: 0,
};

export interface AgentFixtureOptions {
  policy?: Partial<PolicySettings>;
  workerFaults?: Partial<WorkerFaults>;
}

export interface TaskPlan {
  taskId: string;
  type?: TaskType;
  kind?: string;
  size?: Resources;
  parameters?: Record<string, string>;
}

export class AgentFixture {
  readonly platform = new FakePlatform();

  readonly table = new MemoryTableService(this.platform);

  readonly entry: FakeEntry;

  readonly rpc = new RpcClient({ sharedToken: SHARED_TOKEN });

  private constructor(
    private readonly options: AgentFixtureOptions,
    readonly worker: FakeWorker,
    private readonly servers: HttpServer[],
  ) {
    this.entry = new FakeEntry(this.table, SHARED_TOKEN);
  }

  context!: AgentContext;

  private agent!: RunningDaemon;

  static async create(options: AgentFixtureOptions = {}): Promise<AgentFixture> {
    const platform = new FakePlatform();
    const server = createPlatformServer({ platform });
    const platformAddress = await server.listen();
    const worker = new FakeWorker({
      workerId: AGENT_ID,
      capacity: CAPACITY,
      platformAddress,
      faults: { usageLagMs: 200, ...options.workerFaults },
    });
    const fixture = new AgentFixture(options, worker, [server]);
    fixture.objectPlatform = platform;
    fixture.servers.push(await fixture.entry.listen());
    await fixture.startAgent();
    return fixture;
  }

  /** Stores the checkpoints; its faults simulate those of the object store. */
  objectPlatform!: FakePlatform;

  async startAgent(): Promise<void> {
    const settings = agentSettingsSchema.parse({
      agentId: AGENT_ID,
      location: LOCATION,
      platformAddress: 'http://127.0.0.1:1',
      workerAddress: 'http://127.0.0.1:1',
      sharedToken: SHARED_TOKEN,
      entries: [this.entry.address],
      logLevel: 'silent',
      policy: this.options.policy ?? {},
    });
    this.context = createAgentContext({
      settings,
      logger: createLogger({ name: AGENT_ID, level: 'silent' }),
      table: this.table,
      worker: new LocalWorker(this.worker, CAPACITY),
    });
    this.agent = await startAgent(this.context);
    await waitUntil(
      () =>
        this.context.incarnation > 0 &&
        this.context.configuration.isConfirmed(this.context.clock.now()),
      { what: 'the agent is serving' },
    );
  }

  async stopAgent(): Promise<void> {
    await this.agent.stop();
  }

  async close(): Promise<void> {
    await this.stopAgent();
    this.rpc.close();
    await this.worker.close();
    for (const server of this.servers) {
      server.closeNow();
      await server.close();
    }
  }

  callAgent<Method extends RpcMethod>(
    method: Method,
    parameters: RpcMethods[Method]['parameters'],
  ): Promise<RpcMethods[Method]['result']> {
    return this.rpc.call(this.agent.address, method, parameters);
  }

  async reserve(plans: TaskPlan[], remainingMs = 5_000): Promise<(string | null)[]> {
    const result = await this.callAgent(RpcMethod.TaskReserve, {
      incarnation: this.context.incarnation,
      reservations: plans.map((plan) => ({
        taskId: plan.taskId,
        attempt: 1,
        type: plan.type ?? TaskType.Batch,
        kind: plan.kind ?? 'reprint',
        size: plan.size ?? ONE_CORE,
      })),
      remainingMs,
      revision: this.entry.slice.revision,
    });
    return result.refusals;
  }

  /** Writes the row of a claimed task. */
  async claim(plan: TaskPlan, overrides: Partial<TaskRow> = {}): Promise<void> {
    const { incarnation } = this.context;
    const value: TaskRow = {
      writeId: randomUUID(),
      taskId: plan.taskId,
      type: plan.type ?? TaskType.Batch,
      jobId: 'job',
      team: 'hotels',
      kind: plan.kind ?? 'reprint',
      urgency: 'overnight',
      declaredSize: plan.size ?? ONE_CORE,
      state: TaskState.Running,
      attempt: 1,
      holder: { agentId: AGENT_ID, incarnation },
      checkpointKey: null,
      parameters: plan.parameters ?? { durationMs: '60000' },
      failures: 0,
      evictions: 0,
      failedOn: [],
      reason: null,
      lastDecision: null,
      submittedAtMs: 0,
      endedAtMs: null,
      ...overrides,
    };
    await this.entry.write(createTaskKey(plan.taskId), value);
  }

  start(plans: TaskPlan[], incarnation = this.context.incarnation): Promise<unknown> {
    const tasks = plans.map(({ taskId }) => ({ key: createTaskKey(taskId), taskId, attempt: 1 }));
    return this.callAgent(RpcMethod.TaskStart, { incarnation, tasks });
  }

  /** Reserves, claims and starts, and waits until the worker runs the tasks. */
  async run(plans: TaskPlan[]): Promise<void> {
    const refusals = await this.reserve(plans);
    const refused = refusals.find((refusal) => refusal !== null);
    if (refused !== undefined) {
      throw new Error(`refused: ${refused}`);
    }
    await Promise.all(plans.map((plan) => this.claim(plan)));
    await this.start(plans);
    for (const { taskId } of plans) {
      await waitUntil(() => this.worker.tasks.has(taskId), { what: `${taskId} runs` });
    }
  }

  events(taskId: string): string[] {
    return this.records()
      .filter((record) => record.taskId === taskId)
      .map(({ event }) => event);
  }

  records(): ExecutionRecord[] {
    return this.worker.log.page(0).records;
  }

  async fence(): Promise<void> {
    const [row] = await this.table.read<LeaseRow>([leaseKey(AGENT_ID)]);
    await this.entry.write(leaseKey(AGENT_ID), { ...row?.value, state: LeaseState.Fenced });
  }
}
