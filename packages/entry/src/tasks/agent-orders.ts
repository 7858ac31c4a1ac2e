/**
 * Start hints and stop orders for agents, collected and sent once per tick and agent. Both are only
 * hints: the agent reads the row before it starts a task, and the row alone fences a stopped one.
 */
import type { Metrics } from '@figjunction/telemetry';
import type { RpcClient } from '@figjunction/rpc';
import { RpcMethod } from '@figjunction/types';
import type {
  AgentId,
  Holder,
  TaskId,
  TaskStartParameters,
  TaskStopParameters,
} from '@figjunction/types';
import type { AgentDirectory } from '../agent-directory.js';

export interface StartHint {
  holder: Holder;
  key: string;
  taskId: TaskId;
  attempt: number;
}

export interface StopOrder {
  holder: Holder;
  taskId: TaskId;
  attempt: number;
  checkpoint: boolean;
  reason: string;
}

export interface AgentOrdersOptions {
  rpc: Pick<RpcClient, 'call'>;
  agents: AgentDirectory;
  metrics: Metrics;
  timeoutMs?: number;
  batchMaximum?: number;
}

const DEFAULT_TIMEOUT_MS = 2_000;
const DEFAULT_BATCH_MAXIMUM = 256;

export class AgentOrders {
  private starts: StartHint[] = [];

  private stops: StopOrder[] = [];

  constructor(private readonly options: AgentOrdersOptions) {}

  start(hint: StartHint): void {
    this.starts.push(hint);
  }

  stop(order: StopOrder): void {
    this.stops.push(order);
  }

  /** Drops hints that were not sent, for when starts are no longer allowed. */
  dropStarts(): void {
    this.starts = [];
  }

  /** Sends what was collected; the calls run beside the loop. */
  flush(): void {
    const { starts, stops } = this;
    this.starts = [];
    this.stops = [];
    for (const group of batches(starts, holderKey, this.batchMaximum())) {
      this.sendStarts(group);
    }
    for (const group of batches(stops, stopKey, this.batchMaximum())) {
      this.sendStops(group);
    }
  }

  private batchMaximum(): number {
    return this.options.batchMaximum ?? DEFAULT_BATCH_MAXIMUM;
  }

  private sendStarts(hints: StartHint[]): void {
    const [first] = hints;
    if (first !== undefined) {
      const { agentId, incarnation } = first.holder;
      const tasks = hints.map(({ key, taskId, attempt }) => ({ key, taskId, attempt }));
      this.send(agentId, RpcMethod.TaskStart, { incarnation, tasks });
    }
  }

  private sendStops(orders: StopOrder[]): void {
    const [first] = orders;
    if (first !== undefined) {
      const { agentId, incarnation } = first.holder;
      const { checkpoint, reason } = first;
      const tasks = orders.map(({ taskId, attempt }) => ({ taskId, attempt }));
      this.send(agentId, RpcMethod.TaskStop, { incarnation, tasks, checkpoint, reason });
    }
  }

  private send(
    agentId: AgentId,
    method: RpcMethod.TaskStart | RpcMethod.TaskStop,
    parameters: TaskStartParameters & TaskStopParameters extends never
      ? never
      : TaskStartParameters | TaskStopParameters,
  ): void {
    const { rpc, agents, metrics, timeoutMs = DEFAULT_TIMEOUT_MS } = this.options;
    const agent = agents.get(agentId);
    if (agent === undefined) {
      return;
    }
    metrics.count('task_orders_total', { method });
    rpc.call(agent.address, method, parameters as never, { timeoutMs }).catch(() => {
      // Recovery sends the order again when the heartbeat shows that it was lost.
      metrics.count('task_orders_failed_total', { method });
    });
  }
}

function holderKey({ holder }: { holder: Holder }): string {
  return `${holder.agentId}/${holder.incarnation}`;
}

function stopKey(order: StopOrder): string {
  return `${holderKey(order)}/${order.checkpoint}/${order.reason}`;
}

function batches<Item>(
  items: Item[],
  keyOf: (item: Item) => string,
  batchMaximum: number,
): Item[][] {
  const groups = new Map<string, Item[]>();
  const full: Item[][] = [];
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key) ?? [];
    group.push(item);
    if (group.length >= batchMaximum) {
      full.push(group);
      groups.delete(key);
    } else {
      groups.set(key, group);
    }
  }
  return [...full, ...groups.values()];
}
