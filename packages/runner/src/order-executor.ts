/**
 * Carries out the orders of the scheduler on the VM. Each call that stays without an answer is made again;
 * a start that stays without one is made impossible by a stop before the scheduler hears that it failed.
 */
import PQueue from 'p-queue';
import type { EventLog } from '@figjunction/logger';
import { toError } from '@figjunction/errors';
import { sleep } from '@figjunction/time';
import type { Clock, Instant } from '@figjunction/time';
import { StartRefusal } from '@figjunction/types';
import type { OrdersParameters, RunAnswer, RunReference, StartOrder } from '@figjunction/types';
import type { VmHost } from './vm-host.js';
import type { VmSession } from './vm-session.js';

export interface OrderDeskOptions {
  host: VmHost;
  clock: Clock;
  events: EventLog;
  /** An answer came too late for the reply to the order and goes with the next report. */
  onLateAnswer: (answer: RunAnswer) => void;
}

/** The reply to orders waits this long for answers of the VM. */
const REPLY_WITHIN_MS = 250;
/** A start is tried this long before it is given up. */
const START_PATIENCE_MS = 1_200;
const RETRY_MS = 50;
const CONCURRENT_CALLS = 8;

export class OrderDesk {
  private readonly queue = new PQueue({ concurrency: CONCURRENT_CALLS });

  /** Runs whose start or stop is being carried out. */
  private readonly inProgress = new Set<string>();

  constructor(private readonly options: OrderDeskOptions) {}

  /** Starts the runs and stops others. Returns the answers that came in time. */
  async carryOut(orders: OrdersParameters, session: VmSession): Promise<RunAnswer[]> {
    const answers: RunAnswer[] = [];
    let replied = false;
    const answer = (item: RunAnswer): void => {
      if (replied) {
        this.options.onLateAnswer(item);
      } else {
        answers.push(item);
      }
    };
    const starts = orders.starts.map((order) => this.startOnce(order, orders, session, answer));
    orders.stops.forEach((reference) => this.stopOnce(reference, orders, session));
    await Promise.race([Promise.all(starts), sleep(REPLY_WITHIN_MS)]);
    replied = true;
    return answers;
  }

  private startOnce(
    order: StartOrder,
    orders: OrdersParameters,
    session: VmSession,
    answer: (item: RunAnswer) => void,
  ): Promise<void> {
    const { taskId, run } = order;
    const key = `start ${taskId}#${run}`;
    if (this.inProgress.has(key)) {
      return Promise.resolve();
    }
    this.inProgress.add(key);
    session.runs.describe(order);
    return this.queue.add(async () => {
      try {
        const refusal = await this.start(order, orders, session);
        if (refusal === null) {
          session.runs.confirm(order, this.options.clock.now());
          answer({ taskId, run, refusal });
        } else if (await this.isSurelyOver(order, refusal, session)) {
          answer({ taskId, run, refusal });
        }
      } finally {
        this.inProgress.delete(key);
      }
    });
  }

  /**
   * A start that is superseded or unanswered may have begun a run after all. Such a run is in the lists of
   * the VM, and its end tells the scheduler.
   */
  private async isSurelyOver(
    order: StartOrder,
    refusal: StartRefusal,
    session: VmSession,
  ): Promise<boolean> {
    if (refusal !== StartRefusal.Superseded && refusal !== StartRefusal.Unanswered) {
      return true;
    }
    try {
      await session.lookNow();
    } catch (error) {
      // Without a list the run is not known to be over; the scheduler asks again.
      const fields = { task: order.taskId, run: order.run, error: toError(error).message };
      this.options.events.write('end-not-confirmed', fields);
      return false;
    }
    return !session.runs.isListed(order);
  }

  private async start(
    order: StartOrder,
    orders: OrdersParameters,
    session: VmSession,
  ): Promise<StartRefusal | null> {
    const giveUpAt: Instant = this.options.clock.now() + START_PATIENCE_MS;
    const { taskId, run, checkpoint, ticket } = order;
    const { instanceId, epoch } = orders;
    const payload = orders.payloads[taskId.slice(0, taskId.indexOf('.'))] ?? '';
    while (this.options.clock.now() < giveUpAt) {
      const leaseUntilVmMs = session.lease.untilVmMs;
      if (leaseUntilVmMs === null) {
        return StartRefusal.NoSession;
      }
      try {
        const request = { instanceId, epoch, taskId, run, payload, checkpoint, ticket };
        return await this.options.host.start({ ...request, leaseUntilVmMs });
      } catch (error) {
        const fields = { task: taskId, run, error: toError(error).message };
        this.options.events.write('start-unanswered', fields);
        await sleep(RETRY_MS);
      }
    }
    await this.stop(order, orders, session);
    return StartRefusal.Unanswered;
  }

  private stopOnce(reference: RunReference, orders: OrdersParameters, session: VmSession): void {
    const key = `stop ${reference.taskId}#${reference.run}`;
    if (this.inProgress.has(key)) {
      return;
    }
    this.inProgress.add(key);
    this.stop(reference, orders, session)
      .finally(() => this.inProgress.delete(key))
      .catch((error: unknown) => {
        const { taskId, run } = reference;
        const fields = { task: taskId, run, error: toError(error).message };
        this.options.events.write('stop-failed', fields);
      });
  }

  /** Repeats the stop until the VM has answered or this life of it is over. */
  private async stop(
    { taskId, run }: RunReference,
    { instanceId, epoch }: OrdersParameters,
    session: VmSession,
  ): Promise<void> {
    while (!session.isOver) {
      try {
        await this.options.host.stop({ instanceId, epoch, taskId, run });
        session.wake();
        return;
      } catch (error) {
        const fields = { task: taskId, run, error: toError(error).message };
        this.options.events.write('stop-unanswered', fields);
        await sleep(RETRY_MS);
      }
    }
  }
}
