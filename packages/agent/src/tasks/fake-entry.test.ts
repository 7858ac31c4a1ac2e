/**
 * A fake entry that responds to the calls of an agent and writes the reported ends to the table.
 */
import { HttpServer } from '@figjunction/http';
import type { TableService } from '@figjunction/store';
import { createRpcRoute } from '@figjunction/rpc';
import {
  HeartbeatReception,
  LeaseState,
  RpcMethod,
  TaskReportKind,
  TaskState,
  leaseKey,
  taskKey,
} from '@figjunction/types';
import type {
  AgentSlice,
  GuardSettings,
  HeartbeatParameters,
  LeaseRenewParameters,
  LeaseRenewResult,
  LeaseRow,
  Resources,
  TaskReport,
  TaskRow,
} from '@figjunction/types';

export const LOCATION = { region: 'marmara', dataCentre: 'istanbul', rack: 'istanbul-1' };
export const ONE_CORE: Resources = {
  processorMillicores: 1_000,
  memoryMegabytes: 500,
  accelerators: 0,
};

const GUARDS: GuardSettings = {
  enabled: true,
  actAboveSlowdown: 1.3,
  relaxBelowSlowdown: 1.1,
  measurementsToAct: 2,
  relaxAfterMs: 30_000,
  evictionsPerVmInterval: 1,
  evictionIntervalMs: 30_000,
  evictionsPerRun: 3,
};

export class FakeEntry {
  address = '';

  readonly heartbeats: HeartbeatParameters[] = [];

  readonly reports: TaskReport[] = [];

  readonly slice: AgentSlice = {
    revision: 1,
    services: [
      { service: 'labels', slotsPerInstance: 8, connectionsPerInstance: 64, timeoutMs: 5_000 },
    ],
    kinds: [
      {
        kind: 'reprint',
        urgency: 'overnight',
        declaredSize: ONE_CORE,
        lossWeight: 1,
        checkpointable: true,
      },
    ],
    classes: [{ urgency: 'overnight', rank: 1, guaranteedShare: 0 }],
    guards: { ...GUARDS },
  };

  /** Whether every call fails. */
  isDown = false;

  /** Number of report calls whose responses are lost after the reports were applied. */
  reportResponsesToLose = 0;

  constructor(
    private readonly table: TableService,
    private readonly sharedToken: string,
  ) {}

  async write(key: string, value: unknown): Promise<void> {
    const [row] = await this.table.read([key]);
    const writes = [{ key, expectedVersion: row?.version ?? 0, value }];
    await this.table.transact({ checks: [], writes });
  }

  async readRow(taskId: string): Promise<TaskRow> {
    const [row] = await this.table.read<TaskRow>([createTaskKey(taskId)]);
    if (row === null || row === undefined) {
      throw new Error(`no row of ${taskId}`);
    }
    return row.value;
  }

  async listen(): Promise<HttpServer> {
    const unlessDown =
      <Parameters, Result>(handler: (parameters: Parameters) => Result | Promise<Result>) =>
      (parameters: Parameters): Result | Promise<Result> => {
        if (this.isDown) {
          throw new Error('the entry is down');
        }
        return handler(parameters);
      };
    const server = new HttpServer({
      routes: [
        createRpcRoute({
          sharedToken: this.sharedToken,
          handlers: {
            [RpcMethod.AgentHeartbeat]: unlessDown((heartbeat: HeartbeatParameters) => {
              this.heartbeats.push(heartbeat);
              const self = { entryId: 'entry-1', address: this.address, location: LOCATION };
              const { revision } = this.slice;
              return {
                entryId: 'entry-1',
                // Acknowledges no heartbeat, so the agent sends every one in full.
                reception: HeartbeatReception.Outdated,
                revision,
                confirmedForMs: 6_000,
                list: { version: '1', entries: [self] },
              };
            }),
            [RpcMethod.ConfigurationGet]: unlessDown(() => ({
              revision: this.slice.revision,
              bodyHash: '',
              body: null,
              slice: structuredClone(this.slice),
            })),
            [RpcMethod.LeaseRenew]: unlessDown((parameters: LeaseRenewParameters) =>
              this.renewLease(parameters),
            ),
            [RpcMethod.TaskReport]: unlessDown(({ reports }: { reports: TaskReport[] }) =>
              this.handleReports(reports),
            ),
          },
        }),
      ],
    });
    this.address = await server.listen();
    return server;
  }

  private async renewLease(parameters: LeaseRenewParameters): Promise<LeaseRenewResult> {
    const { agentId, incarnation, acquire } = parameters;
    const [row] = await this.table.read<LeaseRow>([leaseKey(agentId)]);
    const lease = row?.value;
    const isPermitted = acquire
      ? incarnation > (lease?.incarnation ?? 0)
      : lease?.incarnation === incarnation && lease.state === LeaseState.Active;
    if (!isPermitted) {
      return { renewed: false, incarnation: lease?.incarnation ?? 0 };
    }
    const state = LeaseState.Active;
    const count = (lease?.count ?? 0) + 1;
    await this.write(leaseKey(agentId), { writeId: '', agentId, incarnation, state, count });
    return { renewed: true, incarnation };
  }

  private async handleReports(
    reports: TaskReport[],
  ): Promise<{ settled: boolean[]; applied: boolean[] }> {
    const applied = await Promise.all(reports.map((report) => this.applyReport(report)));
    if (this.reportResponsesToLose > 0) {
      this.reportResponsesToLose -= 1;
      throw new Error('the response is lost');
    }
    return { settled: reports.map(() => true), applied };
  }

  private async applyReport(report: TaskReport): Promise<boolean> {
    this.reports.push(report);
    const row = await this.readRow(report.taskId);
    const isCurrent =
      row.state === TaskState.Running &&
      row.attempt === report.attempt &&
      row.holder?.incarnation === report.holder.incarnation;
    if (isCurrent) {
      const state =
        report.kind === TaskReportKind.Completed ? TaskState.Completed : TaskState.Pending;
      const { checkpointKey } = report;
      await this.write(createTaskKey(report.taskId), {
        ...row,
        state,
        holder: null,
        checkpointKey,
      });
    }
    return isCurrent;
  }
}

export function createTaskKey(taskId: string): string {
  return taskKey(7, taskId);
}
