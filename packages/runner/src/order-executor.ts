/**
 * Executes the scheduler's start and stop orders on the VM. A stop order withdraws the start of its run. When an
 * earlier call may have started the run, a refusal is reported only after a stop, so that a delayed call cannot
 * begin the run afterwards, and after a list that does not contain the run.
 */
import PQueue from 'p-queue';
import type { EventLog } from '@figjunction/logger';
import { toError } from '@figjunction/errors';
import { sleep } from '@figjunction/time';
import type { Clock, Instant } from '@figjunction/time';
import { StartRefusal } from '@figjunction/types';
import type { RunAnswer, RunReference, StartOrder, StopOrder } from '@figjunction/types';
import { buildKey } from './order-execution.js';
import type { OrderExecution } from './order-execution.js';
import { RunStopper } from './run-stopper.js';
import { StartCaller } from './start-caller.js';
import type { StartInProgress } from './start-caller.js';
import type { VmHost } from './vm-host.js';
import type { VmSession } from './vm-session.js';
import { WithdrawnRuns } from './withdrawn-runs.js';

export interface OrderExecutorOptions {
  host: VmHost;
  clock: Clock;
  events: EventLog;
  /** Receives a result that arrived after `execute` returned; it is sent with the next report. */
  onLateResult: (result: RunAnswer) => void;
}

type ReceivedStart = Pick<StartInProgress, 'order' | 'execution' | 'validUntil'>;

/** `execute` waits this long for the results of its starts; later ones go to `onLateResult`. */
const RESULT_TIMEOUT_MS = 250;
/** Longest time from the last sending of an order to a call for its start; the scheduler repeats it each second. */
const START_ORDER_VALIDITY_MS = 2_000;
const CONCURRENT_STARTS_MAXIMUM = 8;
/** Shorter waits for one of these places are not logged. */
const LOGGED_WAIT_MINIMUM_MS = 500;

export class OrderExecutor {
  private readonly queue = new PQueue({ concurrency: CONCURRENT_STARTS_MAXIMUM });

  /**
   * Starts in progress by the keys of their runs. A repeated order joins the one in progress. A withdrawn start stays
   * until the stop of its run is done, since its run may be on the VM as long.
   */
  private readonly startsInProgress = new Map<string, StartInProgress>();

  /** Keys of the runs with a stop in progress; a repeated order is ignored meanwhile. */
  private readonly stopsInProgress = new Set<string>();

  private readonly withdrawnRuns: WithdrawnRuns;

  private readonly caller: StartCaller;

  private readonly stopper: RunStopper;

  constructor(private readonly options: OrderExecutorOptions) {
    this.withdrawnRuns = new WithdrawnRuns(options.clock);
    this.caller = new StartCaller(options);
    this.stopper = new RunStopper(options);
  }

  /** Executes all orders. Returns the results of the starts that completed within the timeout. */
  async execute(execution: OrderExecution): Promise<RunAnswer[]> {
    const { orders } = execution;
    const validMs = Math.min(START_ORDER_VALIDITY_MS, orders.startsValidMs ?? Infinity);
    const validUntil = this.options.clock.now() + validMs;
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
      this.startOrJoin({ order, execution, validUntil }, report),
    );
    orders.stops.forEach((order) => this.stopUnlessInProgress(order, execution));
    await Promise.race([Promise.all(starts), sleep(RESULT_TIMEOUT_MS)]);
    hasReturned = true;
    return results;
  }

  /** Runs of the session whose start got no response so far, so that they may be on the VM. */
  findUnansweredStarts(session: VmSession): RunReference[] {
    return [...this.startsInProgress.values()]
      .filter(
        ({ execution, hadUnansweredCall }) => hadUnansweredCall && execution.session === session,
      )
      .map(({ order: { taskId, run } }) => ({ taskId, run }));
  }

  private startOrJoin(received: ReceivedStart, report: (result: RunAnswer) => void): Promise<void> {
    const { order, execution } = received;
    const { session } = execution;
    const { taskId, run } = order;
    const key = buildKey(order);
    const current = this.startsInProgress.get(key);
    if (current !== undefined) {
      if (order.attempt > current.order.attempt) {
        Object.assign(current, received);
      }
      return Promise.resolve();
    }
    if (this.withdrawnRuns.has(order)) {
      // The stop order has overtaken the start order.
      this.logWithdrawal(order);
      return Promise.resolve();
    }
    const latest: StartInProgress = { ...received, hadUnansweredCall: false, isWithdrawn: false };
    this.startsInProgress.set(key, latest);
    session.runs.setAttributes(order);
    const receivedAt = this.options.clock.now();
    return this.queue.add(async () => {
      this.logWait(order, receivedAt);
      try {
        const refusal = await this.caller.call(latest);
        if (refusal === null) {
          session.runs.confirmStart(order, this.options.clock.now());
          report({ taskId, run, attempt: latest.order.attempt, refusal });
          return;
        }
        if (latest.isWithdrawn) {
          this.logWithdrawal(order);
          return;
        }
        // A sending before the latest one may still be on its way.
        const mayHaveBegun =
          latest.order.mayHaveReachedVm ||
          latest.hadUnansweredCall ||
          refusal === StartRefusal.Superseded;
        if (!mayHaveBegun || (await this.stopper.ruleOut(order, refusal, latest.execution))) {
          this.options.events.write('start-refused', { task: taskId, run, refusal, mayHaveBegun });
          report({ taskId, run, attempt: latest.order.attempt, refusal });
        }
      } finally {
        if (!latest.isWithdrawn) {
          this.startsInProgress.delete(key);
        }
      }
    });
  }

  private logWithdrawal({ taskId, run }: StartOrder): void {
    this.options.events.write('start-withdrawn', { task: taskId, run });
  }

  private logWait({ taskId, run }: StartOrder, receivedAt: Instant): void {
    const waitedMs = Math.round(this.options.clock.now() - receivedAt);
    if (waitedMs >= LOGGED_WAIT_MINIMUM_MS) {
      this.options.events.write('start-waited', { task: taskId, run, waitedMs });
    }
  }

  private stopUnlessInProgress(order: StopOrder, execution: OrderExecution): void {
    const key = buildKey(order);
    this.withdrawnRuns.add(order);
    if (this.stopsInProgress.has(key)) {
      return;
    }
    this.stopsInProgress.add(key);
    this.logStopOrder(order, execution);
    const start = this.startsInProgress.get(key);
    if (start !== undefined) {
      start.isWithdrawn = true;
    }
    this.stopRun(order, execution)
      .finally(() => {
        this.stopsInProgress.delete(key);
        this.startsInProgress.delete(key);
      })
      .catch((error: unknown) => {
        const { taskId, run } = order;
        const fields = { task: taskId, run, error: toError(error).message };
        this.options.events.write('stop-failed', fields);
      });
  }

  /** Reports a run that never started as refused, since no list will show its end. */
  private async stopRun(order: StopOrder, execution: OrderExecution): Promise<void> {
    if (execution.session.runs.isListed(order)) {
      await this.stopper.stop(order, execution);
    } else if (await this.stopper.ruleOut(order, StartRefusal.Unanswered, execution)) {
      const { taskId, run, attempt } = order;
      // The VM refuses its start from now on, as it does after an end.
      const refusal = StartRefusal.Superseded;
      const fields = { task: taskId, run, refusal, mayHaveBegun: true };
      this.options.events.write('start-refused', fields);
      this.options.onLateResult({ taskId, run, attempt, refusal });
    }
  }

  /** `isListed` and `isStarting` tell where the run is when its stop order arrives. */
  private logStopOrder(order: StopOrder, { orders, session }: OrderExecution): void {
    const { taskId, run } = order;
    this.options.events.write('stop-ordered', {
      task: taskId,
      run,
      epoch: orders.epoch,
      session: orders.session,
      isListed: session.runs.isListed(order),
      isStarting: this.startsInProgress.has(buildKey(order)),
    });
  }
}
