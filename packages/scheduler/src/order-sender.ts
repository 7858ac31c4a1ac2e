/**
 * Sends start and stop orders to runners. Each runner has at most one open call, so that orders are batched
 * under load. An order without a response is sent again; runners execute each order only once.
 */
import { toError } from '@figjunction/errors';
import { RunPhase, applyOrderResponses } from '@figjunction/scheduling';
import type { CellState, RunRecord, VmRecord } from '@figjunction/scheduling';
import type { Instant } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import type { JobId, OrdersParameters, StartOrder, StopOrder } from '@figjunction/types';
import type { CancellationFreshness } from './cancellation-freshness.js';
import type { CellContext } from './cell-context.js';
import type { CellLease } from './cell-lease.js';

export interface OrderSenderOptions {
  context: CellContext;
  state: CellState;
  lease: Pick<CellLease, 'epoch' | 'isHeld'>;
  /** Starts are sent only while the cancellations that this scheduler knows are recent. */
  freshness: Pick<CancellationFreshness, 'isRecent' | 'startsValidMs'>;
  /** Called when a call has ended, since its response may have changed the tables. */
  onCallFinished: () => void;
}

const ORDER_TIMEOUT_MS = 800;
/** Delay before an order that a runner received but did not respond to is sent again. */
const RESEND_DELAY_MS = 1_000;
const RETRY_DELAY_MS = 150;

export class OrderSender {
  /** The epoch of the term; the process may hold the cell again under a later one. */
  private readonly epoch: number;

  private isStopped = false;

  private readonly vmsWithOpenCall = new Set<VmRecord>();

  constructor(private readonly options: OrderSenderOptions) {
    this.epoch = options.lease.epoch;
  }

  /** Sends no further orders. Open calls go on. */
  stop(): void {
    this.isStopped = true;
  }

  /** Sends nothing while this process doesn't hold the cell under the epoch of the term. */
  sendDueOrders(now: Instant): void {
    if (this.maySend()) {
      for (const vm of this.options.state.vms.values()) {
        this.sendOrdersTo(vm, now);
      }
    }
  }

  private maySend(): boolean {
    const { lease } = this.options;
    return !this.isStopped && lease.epoch === this.epoch && lease.isHeld();
  }

  private sendOrdersTo(vm: VmRecord, now: Instant): void {
    if (vm.session === 0 || vm.announcement === null || this.vmsWithOpenCall.has(vm)) {
      return;
    }
    const maySendStarts = this.options.freshness.isRecent(now);
    const dueRuns = [...vm.runs.values()].filter(
      (run) => isDue(run, now) && (maySendStarts || run.phase !== RunPhase.Ordered),
    );
    const dueOrphans = [...vm.orphans.values()].filter(({ sendAt }) => sendAt <= now);
    if (dueRuns.length + dueOrphans.length === 0) {
      return;
    }
    const items = [...dueRuns, ...dueOrphans];
    items.forEach((item) => {
      item.sendAt = now + RESEND_DELAY_MS;
    });
    const starts = dueRuns.filter(({ phase }) => phase === RunPhase.Ordered);
    const startOrders = starts.map((run) => this.prepareSending(run));
    const stops: StopOrder[] = dueRuns
      .filter(({ phase }) => phase === RunPhase.Stopping)
      .map(({ task, run, attempt }) => ({ taskId: task.id, run, attempt }));
    stops.push(...dueOrphans.map(({ taskId, run }) => ({ taskId, run, attempt: 0 })));
    this.vmsWithOpenCall.add(vm);
    this.callRunner(vm, {
      epoch: this.epoch,
      session: vm.session,
      instanceId: vm.announcement?.instanceId ?? '',
      settledThrough: vm.settledThrough,
      payloads: payloadsOf(starts),
      starts: startOrders,
      startsValidMs: this.options.freshness.startsValidMs(now),
      stops,
    })
      .catch((error: unknown) => this.handleFailure(vm, items, toError(error)))
      .finally(() => {
        this.vmsWithOpenCall.delete(vm);
        this.sendNextOrdersTo(vm);
        this.options.onCallFinished();
      });
  }

  /** Sends what has become due during the call, without a wait for the next tick. */
  private sendNextOrdersTo(vm: VmRecord): void {
    if (this.maySend()) {
      this.sendOrdersTo(vm, this.options.context.clock.now());
    }
  }

  /** Numbers the next sending of a start order, which counts as sent from now on. */
  private prepareSending(run: RunRecord): StartOrder {
    const mayHaveReachedVm = run.isSent;
    run.isSent = true;
    run.attempt += 1;
    return createStartOrder(this.options.state, run, mayHaveReachedVm);
  }

  private async callRunner(vm: VmRecord, parameters: OrdersParameters): Promise<void> {
    const { context, state } = this.options;
    const sentAt = context.clock.now();
    const result = await context.rpc.call(vm.address, RpcMethod.RunnerOrders, parameters, {
      timeoutMs: ORDER_TIMEOUT_MS,
    });
    const now = context.clock.now();
    context.metrics.recordLatency('order_ms', now - sentAt);
    if (vm.session === parameters.session) {
      applyOrderResponses(state, vm, result, now);
      const refused = result.answers.filter(({ refusal }) => refusal !== null);
      refused.forEach(({ taskId, run, refusal }) =>
        context.events.write('run-refused', { task: taskId, run, vm: vm.id, refusal }),
      );
    }
  }

  private handleFailure(vm: VmRecord, items: { sendAt: Instant }[], error: Error): void {
    const { context } = this.options;
    const retryAt = context.clock.now() + RETRY_DELAY_MS;
    items.forEach((item) => {
      item.sendAt = Math.min(item.sendAt, retryAt);
    });
    const { session } = vm;
    context.events.write('orders-unanswered', { vm: vm.id, session, error: error.message });
  }
}

/** A start order waits until the store names its VM, so that a later scheduler knows where the run may be. */
function isDue({ phase, sendAt, task, vm }: RunRecord, now: Instant): boolean {
  const isSendable =
    phase === RunPhase.Stopping ||
    (phase === RunPhase.Ordered && task.step.occurrence.storedVms.has(vm.id));
  return isSendable && sendAt <= now;
}

function payloadsOf(starts: RunRecord[]): Record<JobId, string> {
  return Object.fromEntries(
    starts.map(({ task }) => [
      task.step.occurrence.job.id,
      task.step.occurrence.job.specification.payload,
    ]),
  );
}

function createStartOrder(
  state: CellState,
  { task, run, ticket, attempt, startCheckpoint: checkpoint }: RunRecord,
  mayHaveReachedVm: boolean,
): StartOrder {
  const { fills, latencyTargetMs } = task.step.specification;
  const attributes = { fills, latencyTargetMs, pressure: state.estimatePressure(task.step) };
  const { id: taskId } = task;
  return { taskId, run, checkpoint, ticket, attempt, mayHaveReachedVm, ...attributes };
}
