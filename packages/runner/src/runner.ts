/**
 * Runs next to a VM: opens a session for each incarnation of the VM, executes the scheduler's orders on it
 * and reports its runs.
 */
import { isDeepStrictEqual } from 'node:util';
import type { EventLog } from '@figjunction/logger';
import { toError } from '@figjunction/errors';
import type { RpcClient, RpcHandlers } from '@figjunction/rpc';
import type { OwnerDirectory, OwnerView } from '@figjunction/scheduler';
import type { Clock, RandomSource } from '@figjunction/time';
import { RpcMethod, StartRefusal, VmState } from '@figjunction/types';
import type {
  CrashedRun,
  OrdersParameters,
  OrdersResult,
  RunAnswer,
  RunnerListResult,
  VmAnnouncement,
} from '@figjunction/types';
import { OrderExecutor } from './order-executor.js';
import { Reporter } from './reporter.js';
import type { VmHost } from './vm-host.js';
import { VmSession } from './vm-session.js';

export interface RunnerOptions {
  host: VmHost;
  clock: Clock;
  events: EventLog;
  rpc: RpcClient;
  directory: OwnerDirectory;
  runnerId: string;
  /** Address at which the scheduler reaches this process. */
  address: string;
  processId: string;
  random: RandomSource;
  takeOver: (view: OwnerView, reason: string) => Promise<void>;
}

export class Runner {
  private readonly reporter: Reporter;

  private readonly orderExecutor: OrderExecutor;

  private session: VmSession | null = null;

  constructor(private readonly options: RunnerOptions) {
    this.reporter = new Reporter({ ...options, session: () => this.session });
    this.orderExecutor = new OrderExecutor({
      ...options,
      onLateResult: (result) => this.reporter.addStartResult(result),
    });
  }

  start(): void {
    this.reporter.run().catch((error: unknown) => this.logFailure('reporter', error));
  }

  stop(): void {
    this.reporter.stop();
    this.session?.stop();
  }

  /** What the current incarnation of the VM has last announced; null while none is known. */
  get announcement(): VmAnnouncement | null {
    return this.session?.announcement ?? null;
  }

  /** Epoch of the scheduler that this runner follows; 0 before it knows one. */
  get epoch(): number {
    return this.reporter.epoch;
  }

  /** Handles the VM's heartbeat. Ignores one from an earlier incarnation. */
  handleAnnouncement(announcement: VmAnnouncement): void {
    const current = this.announcement;
    if (current === null || current.bornWallMs < announcement.bornWallMs) {
      this.openSession(announcement);
    } else if (current.bornWallMs === announcement.bornWallMs) {
      const hasChanged =
        current.state !== announcement.state ||
        !isDeepStrictEqual(current.capacity, announcement.capacity);
      (this.session as VmSession).announcement = announcement;
      if (hasChanged) {
        this.logAnnouncement(announcement);
        this.reporter.wake();
      }
    }
  }

  /** Handles the deregistration of the VM, on which nothing runs any more. */
  handleDeregistration(instanceId: string): void {
    if (this.session?.announcement.instanceId === instanceId) {
      this.options.events.write('vm-left', { instance: instanceId });
      this.session.stop();
      this.session = null;
      this.reporter.reset();
    }
  }

  handlers(): RpcHandlers {
    return {
      [RpcMethod.RunnerOrders]: (orders) => this.executeOrders(orders),
      [RpcMethod.RunnerAdopt]: ({ epoch, address }) => {
        this.options.directory.updateOwner({ epoch, address, processId: '' });
        this.reporter.follow(epoch);
        return {};
      },
      [RpcMethod.RunnerList]: ({ epoch }) => this.listRuns(epoch),
    };
  }

  private async executeOrders(orders: OrdersParameters): Promise<OrdersResult> {
    const { session } = this;
    const isCurrent = session?.announcement.instanceId === orders.instanceId;
    if (
      !this.reporter.acceptsOrders(orders.epoch, orders.session) ||
      session === null ||
      !isCurrent
    ) {
      return { answers: this.refuseOrders(orders) };
    }
    session.acknowledgeEnds(orders.settledThrough);
    const isStillCurrent = (): boolean =>
      session === this.session && this.reporter.acceptsOrders(orders.epoch, orders.session);
    const execution = { orders, session, isCurrent: isStillCurrent };
    return { answers: await this.orderExecutor.execute(execution) };
  }

  /** Lists the runs without a session. Throws if the VM does not answer. */
  private async listRuns(epoch: number): Promise<RunnerListResult> {
    const { session } = this;
    const isListed = epoch === this.epoch && (await session?.refresh()) === true;
    if (!isListed || session === null || session !== this.session) {
      return { vm: null, running: [], ended: [], hasUnlistedEnds: true };
    }
    const { runs, announcement } = session;
    return {
      vm: announcement,
      running: runs.toRunningTasks().map(({ taskId, run }) => ({ taskId, run })),
      ended: runs.unacknowledged,
      hasUnlistedEnds: runs.hasUnlistedEnds,
    };
  }

  /** A repeated order gets no answer: an earlier process of this runner may have started its run. */
  private refuseOrders({ epoch, session, starts }: OrdersParameters): RunAnswer[] {
    const refusal = StartRefusal.NoSession;
    this.options.events.write('orders-refused', { epoch, session, refusal });
    return starts
      .filter(({ mayHaveReachedVm }) => !mayHaveReachedVm)
      .map(({ taskId, run, attempt }) => {
        const fields = { task: taskId, run, refusal, mayHaveBegun: false };
        this.options.events.write('start-refused', fields);
        return { taskId, run, attempt, refusal };
      });
  }

  private openSession(announcement: VmAnnouncement): void {
    this.logAnnouncement(announcement);
    const crashed = this.findCrashedRuns();
    this.session?.stop();
    const { host, clock, events } = this.options;
    const session = new VmSession({
      host,
      clock,
      events,
      announcement,
      epoch: () => this.reporter.epoch,
      onChange: () => this.reporter.wake(),
    });
    this.session = session;
    session.run().catch((error: unknown) => this.logFailure('vm-session', error));
    this.reporter.reset(crashed);
  }

  /**
   * The runs that were or may have been on the last incarnation. It has crashed if a new one starts although it
   * neither drained nor left.
   */
  private findCrashedRuns(): CrashedRun[] {
    const { session } = this;
    if (session === null || session.announcement.state === VmState.Draining) {
      return [];
    }
    const unanswered = this.orderExecutor
      .findUnansweredStarts(session)
      .filter((reference) => !session.runs.isListed(reference));
    return [
      ...session.runs
        .toRunningTasks()
        .map(({ taskId, run, percent }) => ({ taskId, run, percent })),
      ...unanswered.map((reference) => ({ ...reference, percent: 0 })),
    ];
  }

  private logAnnouncement(announcement: VmAnnouncement): void {
    const { instanceId, bornWallMs, state, capacity, remainingMs } = announcement;
    const fields = { instance: instanceId, born: bornWallMs, state, capacity, remainingMs };
    this.options.events.write('vm-announced', fields);
  }

  private logFailure(part: string, error: unknown): void {
    this.options.events.write('part-failed', { part, error: toError(error).message });
  }
}
