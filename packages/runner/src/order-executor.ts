/**
 * Executes the scheduler's start and stop orders on the VM and retries calls that get no response. When a
 * start times out, the executor stops the run before it reports the failure, so that a delayed start request
 * cannot begin the run afterwards.
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

export interface OrderExecutorOptions {
  host: VmHost;
  clock: Clock;
  events: EventLog;
  /** Receives a result that arrived after `execute` returned; it is sent with the next report. */
  onLateResult: (result: RunAnswer) => void;
}

/** `execute` waits this long for the results of its starts; later ones go to `onLateResult`. */
const RESULT_TIMEOUT_MS = 250;
const START_TIMEOUT_MS = 1_200;
const RETRY_DELAY_MS = 50;
const CONCURRENT_STARTS_MAXIMUM = 8;

export class OrderExecutor {
  private readonly queue = new PQueue({ concurrency: CONCURRENT_STARTS_MAXIMUM });

  /** Keys of the starts and stops in progress; a repeated order is ignored meanwhile. */
  private readonly inProgress = new Set<string>();

  constructor(private readonly options: OrderExecutorOptions) {}

  /** Executes all orders. Returns the results of the starts that completed within the timeout. */
  async execute(orders: OrdersParameters, session: VmSession): Promise<RunAnswer[]> {
    const results: RunAnswer[] = [];
    let hasReturned = false;
    const report = (result: RunAnswer): void => {
      if (hasReturned) {
        this.options.onLateResult(result);
      } else {
        results.push(result);
      }
    };
    const starts = orders.starts.map((order) =>
      this.startUnlessInProgress(order, orders, session, report),
    );
    orders.stops.forEach((reference) => this.stopUnlessInProgress(reference, orders, session));
    await Promise.race([Promise.all(starts), sleep(RESULT_TIMEOUT_MS)]);
    hasReturned = true;
    return results;
  }

  private startUnlessInProgress(
    order: StartOrder,
    orders: OrdersParameters,
    session: VmSession,
    report: (result: RunAnswer) => void,
  ): Promise<void> {
    const { taskId, run } = order;
    const key = `start ${taskId}#${run}`;
    if (this.inProgress.has(key)) {
      return Promise.resolve();
    }
    this.inProgress.add(key);
    session.runs.setAttributes(order);
    return this.queue.add(async () => {
      try {
        const refusal = await this.start(order, orders, session);
        if (refusal === null) {
          session.runs.confirmStart(order, this.options.clock.now());
          report({ taskId, run, refusal });
        } else if (await this.isRefusalFinal(order, refusal, session)) {
          report({ taskId, run, refusal });
        }
      } finally {
        this.inProgress.delete(key);
      }
    });
  }

  /**
   * Returns false if the run may have begun despite the refusal: a superseded start, or one without a
   * response, may have succeeded. The VM then lists the run or its end, which is reported.
   */
  private async isRefusalFinal(
    order: StartOrder,
    refusal: StartRefusal,
    session: VmSession,
  ): Promise<boolean> {
    if (refusal !== StartRefusal.Superseded && refusal !== StartRefusal.Unanswered) {
      return true;
    }
    try {
      await session.refresh();
    } catch (error) {
      // Without a list the outcome stays unknown; the scheduler repeats the order.
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
    const deadline: Instant = this.options.clock.now() + START_TIMEOUT_MS;
    const { taskId, run, checkpoint, ticket } = order;
    const { instanceId, epoch } = orders;
    const payload = orders.payloads[taskId.slice(0, taskId.indexOf('.'))] ?? '';
    while (this.options.clock.now() < deadline) {
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
        await sleep(RETRY_DELAY_MS);
      }
    }
    await this.stop(order, orders, session);
    return StartRefusal.Unanswered;
  }

  private stopUnlessInProgress(
    reference: RunReference,
    orders: OrdersParameters,
    session: VmSession,
  ): void {
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

  /** Retries until the VM responds or its session stops. */
  private async stop(
    { taskId, run }: RunReference,
    { instanceId, epoch }: OrdersParameters,
    session: VmSession,
  ): Promise<void> {
    while (!session.isStopped) {
      try {
        await this.options.host.stop({ instanceId, epoch, taskId, run });
        session.wake();
        return;
      } catch (error) {
        const fields = { task: taskId, run, error: toError(error).message };
        this.options.events.write('stop-unanswered', fields);
        await sleep(RETRY_DELAY_MS);
      }
    }
  }
}
