/**
 * A fake agent for tests of the entry's task systems. It admits tasks by its actual free capacity, starts a
 * task only when the row names the agent as holder, and records every start. Tests can make calls fail. It
 * holds no tests itself.
 */
import type { TableService } from '@figjunction/store';
import type { Clock } from '@figjunction/time';
import { AgentState, RpcMethod, TaskReportKind, TaskState } from '@figjunction/types';
import type {
  AgentReport,
  Resources,
  RpcMethods,
  TaskReport,
  TaskReservation,
  TaskRow,
} from '@figjunction/types';

export interface AgentFakeOptions {
  agentId: string;
  table: TableService;
  clock: Clock;
  capacity?: Resources;
  rack?: string;
  dataCentre?: string;
}

const DEFAULT_CAPACITY: Resources = {
  processorMillicores: 4_000,
  memoryMegabytes: 4_096,
  accelerators: 0,
};

interface OwnedTask {
  key: string;
  reservation: TaskReservation;
  running: boolean;
  /** When a reservation that was not started is dropped. */
  deadline: number;
}

export class FakeAgent {
  readonly owned = new Map<string, OwnedTask>();

  /** Every start, as `taskId/attempt`. */
  readonly started: string[] = [];

  incarnation = 1;

  /** Methods whose calls fail without reaching the agent. */
  readonly lost = new Set<RpcMethod>();

  state = AgentState.Serving;

  wantsWork = true;

  private sequence = 0;

  constructor(readonly options: AgentFakeOptions) {}

  get address(): string {
    return `http://${this.options.agentId}`;
  }

  get capacity(): Resources {
    return this.options.capacity ?? DEFAULT_CAPACITY;
  }

  usedMillicores(): number {
    return [...this.owned.values()].reduce(
      (sum, { reservation }) => sum + reservation.size.processorMillicores,
      0,
    );
  }

  usedMegabytes(): number {
    return [...this.owned.values()].reduce(
      (sum, { reservation }) => sum + reservation.size.memoryMegabytes,
      0,
    );
  }

  heartbeat(): AgentReport {
    const { agentId, rack = 'r1', dataCentre = 'istanbul' } = this.options;
    this.sequence += 1;
    this.dropExpired();
    return {
      agentId,
      incarnation: this.incarnation,
      sequence: this.sequence,
      state: this.state,
      address: this.address,
      location: { region: 'marmara', dataCentre, rack },
      capacity: this.capacity,
      free: this.free(),
      instances: [],
      tasks: [...this.owned.values()]
        .filter(({ running }) => running)
        .map(({ reservation: { taskId, attempt } }) => ({ taskId, attempt })),
      usage: [],
      wantsWork: this.wantsWork,
      revision: 1,
      confirmed: true,
    };
  }

  async call<Method extends RpcMethod>(
    method: Method,
    parameters: RpcMethods[Method]['parameters'],
  ): Promise<unknown> {
    if (this.lost.has(method)) {
      throw new Error(`${method} did not arrive`);
    }
    switch (method) {
      case RpcMethod.TaskReserve:
        return this.reserve(parameters as RpcMethods[RpcMethod.TaskReserve]['parameters']);
      case RpcMethod.TaskStart:
        return this.start(parameters as RpcMethods[RpcMethod.TaskStart]['parameters']);
      case RpcMethod.TaskStop:
        return this.stop(parameters as RpcMethods[RpcMethod.TaskStop]['parameters']);
      default:
        throw new Error(`${method} is not served`);
    }
  }

  /** Ends a running task and returns the report about it. */
  end(taskId: string, kind: TaskReportKind, checkpointKey: string | null = null): TaskReport {
    const task = this.owned.get(taskId);
    if (task === undefined) {
      throw new Error(`${taskId} is not on ${this.options.agentId}`);
    }
    this.owned.delete(taskId);
    return {
      kind,
      key: task.key,
      taskId,
      attempt: task.reservation.attempt,
      holder: { agentId: this.options.agentId, incarnation: this.incarnation },
      checkpointKey,
      reason: null,
      decision: null,
    };
  }

  runningTasks(): string[] {
    return [...this.owned.values()]
      .filter(({ running }) => running)
      .map((t) => t.reservation.taskId);
  }

  private free(): Resources {
    return {
      processorMillicores: this.capacity.processorMillicores - this.usedMillicores(),
      memoryMegabytes: this.capacity.memoryMegabytes - this.usedMegabytes(),
      accelerators: this.capacity.accelerators,
    };
  }

  private dropExpired(): void {
    for (const [taskId, { running, deadline }] of this.owned) {
      if (!running && this.options.clock.now() >= deadline) {
        this.owned.delete(taskId);
      }
    }
  }

  private reserve(
    parameters: RpcMethods[RpcMethod.TaskReserve]['parameters'],
  ): RpcMethods[RpcMethod.TaskReserve]['result'] {
    this.dropExpired();
    const refusals = parameters.reservations.map((reservation) => {
      const { size, taskId } = reservation;
      const free = this.free();
      if (parameters.incarnation !== this.incarnation) {
        return 'wrong incarnation';
      }
      if (
        size.processorMillicores > free.processorMillicores ||
        size.memoryMegabytes > free.memoryMegabytes
      ) {
        return 'no room';
      }
      if (this.owned.has(taskId)) {
        return 'already here';
      }
      const deadline = this.options.clock.now() + parameters.remainingMs;
      this.owned.set(taskId, { key: '', reservation, running: false, deadline });
      return null;
    });
    return { refusals, free: this.free() };
  }

  private async start(
    parameters: RpcMethods[RpcMethod.TaskStart]['parameters'],
  ): Promise<Record<string, never>> {
    const rows = await this.options.table.read<TaskRow>(parameters.tasks.map(({ key }) => key));
    parameters.tasks.forEach(({ key, taskId, attempt }, index) => {
      const row = rows[index]?.value;
      const isAssigned =
        row?.state === TaskState.Running &&
        row.attempt === attempt &&
        row.holder?.agentId === this.options.agentId &&
        row.holder.incarnation === this.incarnation;
      const task = this.owned.get(taskId);
      if (isAssigned && task !== undefined && !task.running) {
        task.running = true;
        task.key = key;
        this.started.push(`${taskId}/${attempt}`);
      }
    });
    return {};
  }

  private stop(parameters: RpcMethods[RpcMethod.TaskStop]['parameters']): Record<string, never> {
    for (const { taskId, attempt } of parameters.tasks) {
      if (this.owned.get(taskId)?.reservation.attempt === attempt) {
        this.owned.delete(taskId);
      }
    }
    return {};
  }
}
