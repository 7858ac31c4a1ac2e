/**
 * Drains the VM: announces at once that the agent leaves, stops batch runs with a checkpoint so that they
 * are requeued, and stops instances after their requests have ended.
 */
import { sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import { AgentState, DecisionKind, TaskType } from '@figjunction/types';
import { recordVmDecision } from '../tasks/decision-records.js';
import { orderStop } from '../tasks/stop-orders.js';
import { TaskPhase } from '../tasks/task-table.js';
import type { TaskRuntime } from '../tasks/task-runtime.js';

/** Entries that do not know of the drain yet may still send requests for this long (invariant 7). */
const INSTANCE_STOP_DELAY_MS = 5_000;

const POLL_MS = 50;

export class VmDrain {
  private startedAt: Instant = 0;

  constructor(private readonly runtime: TaskRuntime) {}

  setDraining(drain: boolean): void {
    if (drain === this.runtime.isDraining) {
      return;
    }
    if (drain) {
      this.startDrain();
    } else {
      this.endDrain();
    }
  }

  /**
   * Orders batch runs to stop, and instances after a delay; also tasks that arrive late because they were
   * claimed before the drain.
   */
  stopTasks(): void {
    if (!this.runtime.isDraining) {
      return;
    }
    const { context, tasks } = this.runtime;
    const mayStopInstances = context.clock.now() - this.startedAt >= INSTANCE_STOP_DELAY_MS;
    for (const entry of tasks.inPhase(TaskPhase.Reserved, TaskPhase.Running)) {
      if (entry.type === TaskType.Batch || mayStopInstances) {
        orderStop(this.runtime, entry, { checkpoint: true, reason: 'the VM is draining' });
      }
    }
  }

  /** Resolves when no task is left on the VM and every end of a task is stored. */
  async waitUntilDrained(): Promise<void> {
    const { runtime } = this;
    while (runtime.isDraining && runtime.tasks.all().length + runtime.reports.size() > 0) {
      await sleep(POLL_MS);
    }
  }

  private startDrain(): void {
    const { context } = this.runtime;
    this.runtime.isDraining = true;
    this.startedAt = context.clock.now();
    context.state = AgentState.Leaving;
    context.isHeartbeatDue = true;
    this.record('drain the VM');
    context.logger.info('VM drain started');
    this.stopTasks();
  }

  private endDrain(): void {
    const { context } = this.runtime;
    this.runtime.isDraining = false;
    context.state = context.incarnation > 0 ? AgentState.Serving : AgentState.Starting;
    context.isHeartbeatDue = true;
    this.record('end the drain of the VM');
    context.logger.info('VM drain ended');
  }

  private record(decision: string): void {
    const { context, tasks } = this.runtime;
    recordVmDecision(context, {
      kind: DecisionKind.Drain,
      decision,
      inputs: [{ name: 'tasks', value: tasks.all().length }],
      rejected: [],
    });
  }
}
