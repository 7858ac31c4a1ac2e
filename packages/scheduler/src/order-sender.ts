/**
 * Sends orders to runners, one call at a time to each, so that orders of a busy time share calls. An order
 * without an answer goes out again; runners carry out each only once.
 */
import { toError } from '@figjunction/errors';
import { RunPhase, applyAnswers } from '@figjunction/scheduling';
import type { CellState, RunRecord, VmRecord } from '@figjunction/scheduling';
import type { Instant } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import type { JobId, OrdersParameters, RunReference, StartOrder } from '@figjunction/types';
import type { CellContext } from './cell-context.js';

export interface OrderSenderOptions {
  context: CellContext;
  state: CellState;
  epoch: number;
  /** A call is over: its answers have changed the tables, and the runner can be called again. */
  onAnswers: () => void;
}

const ORDER_TIMEOUT_MS = 800;
/** Delay before an order that was received, but not answered, goes out again. */
const RESEND_MS = 1_000;
const RETRY_MS = 150;

export class OrderSender {
  private readonly called = new Set<VmRecord>();

  constructor(private readonly options: OrderSenderOptions) {}

  sendDue(now: Instant): void {
    for (const vm of this.options.state.vms.values()) {
      if (vm.session !== 0 && vm.announcement !== null && !this.called.has(vm)) {
        this.sendTo(vm, now);
      }
    }
  }

  private sendTo(vm: VmRecord, now: Instant): void {
    const due = [...vm.runs.values()].filter((run) => isDue(run, now));
    const orphans = [...vm.orphans.values()].filter(({ sendAt }) => sendAt <= now);
    if (due.length + orphans.length === 0) {
      return;
    }
    const items = [...due, ...orphans];
    items.forEach((item) => {
      item.sendAt = now + RESEND_MS;
    });
    const starts = due.filter(({ phase }) => phase === RunPhase.Ordered);
    starts.forEach((run) => {
      run.isSent = true;
    });
    const stops: RunReference[] = due
      .filter(({ phase }) => phase === RunPhase.Stopping)
      .map(({ task, run }) => ({ taskId: task.id, run }));
    stops.push(...orphans.map(({ taskId, run }) => ({ taskId, run })));
    this.called.add(vm);
    this.post(vm, {
      epoch: this.options.epoch,
      session: vm.session,
      instanceId: vm.announcement?.instanceId ?? '',
      settledThrough: vm.settledThrough,
      payloads: payloadsOf(starts),
      starts: starts.map((run) => describeStart(this.options.state, run)),
      stops,
    })
      .catch((error: unknown) => this.fail(vm, items, toError(error)))
      .finally(() => {
        this.called.delete(vm);
        this.options.onAnswers();
      });
  }

  private async post(vm: VmRecord, parameters: OrdersParameters): Promise<void> {
    const { context, state } = this.options;
    const sentAt = context.clock.now();
    const result = await context.rpc.call(vm.address, RpcMethod.RunnerOrders, parameters, {
      timeoutMs: ORDER_TIMEOUT_MS,
    });
    const now = context.clock.now();
    context.metrics.recordLatency('order_ms', now - sentAt);
    if (vm.session === parameters.session) {
      applyAnswers(state, vm, result, now);
      const refused = result.answers.filter(({ refusal }) => refusal !== null);
      refused.forEach(({ taskId, run, refusal }) =>
        context.events.write('run-refused', { task: taskId, run, vm: vm.id, refusal }),
      );
    }
  }

  private fail(vm: VmRecord, items: { sendAt: Instant }[], error: Error): void {
    const { context } = this.options;
    const retryAt = context.clock.now() + RETRY_MS;
    items.forEach((item) => {
      item.sendAt = Math.min(item.sendAt, retryAt);
    });
    const { session } = vm;
    context.events.write('orders-unanswered', { vm: vm.id, session, error: error.message });
  }
}

/** A start waits until the store names its VM, so that a successor knows where it may run. */
function isDue({ phase, sendAt, task, vm }: RunRecord, now: Instant): boolean {
  const isOpen =
    phase === RunPhase.Stopping ||
    (phase === RunPhase.Ordered && task.step.occurrence.storedVms.has(vm.id));
  return isOpen && sendAt <= now;
}

function payloadsOf(starts: RunRecord[]): Record<JobId, string> {
  return Object.fromEntries(
    starts.map(({ task }) => [
      task.step.occurrence.job.id,
      task.step.occurrence.job.specification.payload,
    ]),
  );
}

function describeStart(state: CellState, { task, run, ticket }: RunRecord): StartOrder {
  const { fills, latencyTargetMs } = task.step.specification;
  const attributes = { fills, latencyTargetMs, pressure: state.pressureOf(task.step) };
  return { taskId: task.id, run, checkpoint: task.checkpoint, ticket, ...attributes };
}
