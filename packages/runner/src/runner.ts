/**
 * The process beside a VM: knows the VM by its announcements, holds its lease, carries out orders.
 */
import type { EventLog } from '@figjunction/logger';
import { toError } from '@figjunction/errors';
import type { RpcClient, RpcHandlers } from '@figjunction/rpc';
import type { OwnerDirectory, OwnerView } from '@figjunction/scheduler';
import type { Clock, Instant } from '@figjunction/time';
import { RpcMethod, StartRefusal } from '@figjunction/types';
import type { OrdersParameters, OrdersResult, VmAnnouncement } from '@figjunction/types';
import { OrderDesk } from './order-executor.js';
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
  /** Where the scheduler reaches this process. */
  address: string;
  processId: string;
  /** How long the scheduler lets the lease of the VM run after a report. */
  grantMs: number;
  takeOver: (view: OwnerView, reason: string) => Promise<void>;
}

/** The VM's clock may be a little slow, so that a lease lasts longer on this process's clock. */
const LEASE_LENGTHENING = 1.05;

export class Runner {
  private readonly reporter: Reporter;

  private readonly desk: OrderDesk;

  private session: VmSession | null = null;

  private readonly inheritedLeaseUntil: Instant;

  constructor(private readonly options: RunnerOptions) {
    this.inheritedLeaseUntil = options.clock.now() + LEASE_LENGTHENING * options.grantMs;
    this.reporter = new Reporter({ ...options, session: () => this.session });
    this.desk = new OrderDesk({
      ...options,
      onLateAnswer: (answer) => this.reporter.addAnswer(answer),
    });
  }

  start(): void {
    this.reporter.run().catch((error: unknown) => this.logFailure('reporter', error));
  }

  stop(): void {
    this.reporter.stop();
    this.session?.stop();
  }

  /** The VM tells about itself; an announcement of an earlier life is ignored. */
  announce(announcement: VmAnnouncement): void {
    const current = this.session?.announcement ?? null;
    if (current === null || current.bornWallMs < announcement.bornWallMs) {
      this.openSession(announcement);
    } else if (current.bornWallMs === announcement.bornWallMs) {
      const hasChanged = current.state !== announcement.state;
      (this.session as VmSession).announcement = announcement;
      if (hasChanged) {
        this.logAnnouncement(announcement);
        this.reporter.wake();
      }
    }
  }

  /** The VM has left; nothing runs on it any more. */
  leave(instanceId: string): void {
    if (this.session?.announcement.instanceId === instanceId) {
      this.options.events.write('vm-left', { instance: instanceId });
      this.session.stop();
      this.session = null;
      this.reporter.startAnew();
    }
  }

  handlers(): RpcHandlers {
    return {
      [RpcMethod.RunnerOrders]: (orders) => this.carryOut(orders),
      [RpcMethod.RunnerAdopt]: ({ epoch, address }) => {
        this.options.directory.learn({ epoch, address, processId: '' });
        this.reporter.follow(epoch);
        return {};
      },
    };
  }

  private async carryOut(orders: OrdersParameters): Promise<OrdersResult> {
    const { session } = this;
    const isCurrent = session?.announcement.instanceId === orders.instanceId;
    if (!this.reporter.accepts(orders.epoch, orders.session) || session === null || !isCurrent) {
      const refusal = StartRefusal.NoSession;
      const { epoch, session: orderSession } = orders;
      this.options.events.write('orders-refused', { epoch, session: orderSession, refusal });
      return { answers: orders.starts.map(({ taskId, run }) => ({ taskId, run, refusal })) };
    }
    session.settle(orders.settledThrough);
    return { answers: await this.desk.carryOut(orders, session) };
  }

  private openSession(announcement: VmAnnouncement): void {
    this.logAnnouncement(announcement);
    this.session?.stop();
    const { host, clock, events } = this.options;
    const session = new VmSession({
      host,
      clock,
      events,
      announcement,
      inheritedLeaseUntil: this.inheritedLeaseUntil,
      epoch: () => this.reporter.epoch,
      onChange: () => this.reporter.wake(),
    });
    this.session = session;
    session.run().catch((error: unknown) => this.logFailure('vm-session', error));
    this.reporter.startAnew();
  }

  private logAnnouncement({ instanceId, bornWallMs, state, remainingMs }: VmAnnouncement): void {
    const fields = { instance: instanceId, born: bornWallMs, state, remainingMs };
    this.options.events.write('vm-announced', fields);
  }

  private logFailure(part: string, error: unknown): void {
    this.options.events.write('part-failed', { part, error: toError(error).message });
  }
}
