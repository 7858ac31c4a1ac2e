/**
 * Empties the VM: announces at once that it leaves, gives batch runs back with a checkpoint, and stops
 * instances when their requests have ended.
 */
import { sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import { AgentState, DecisionKind, TaskType } from '@figjunction/types';
import { recordAboutVm } from '../tasks/decision-about-run.js';
import { orderStop } from '../tasks/stop-orders.js';
import { TaskPhase } from '../tasks/task-table.js';
import type { TaskRuntime } from '../tasks/task-runtime.js';

/** Entries that have not heard of the drain may still send requests for this long; invariant 7. */
const INSTANCES_STAY_MS = 5_000;

const POLL_MS = 50;

export class VmDrain {
  private startedAt: Instant = 0;

  constructor(private readonly runtime: TaskRuntime) {}

  set(drain: boolean): void {
    if (drain === this.runtime.draining) {
      return;
    }
    if (drain) {
      this.begin();
    } else {
      this.end();
    }
  }

  /** Orders the stop of whatever is still here; also of tasks that were claimed before the drain. */
  run(): void {
    if (!this.runtime.draining) {
      return;
    }
    const { context, tasks } = this.runtime;
    const mayStopInstances = context.clock.now() - this.startedAt >= INSTANCES_STAY_MS;
    for (const entry of tasks.inPhase(TaskPhase.Reserved, TaskPhase.Running)) {
      if (entry.type === TaskType.Batch || mayStopInstances) {
        orderStop(this.runtime, entry, { checkpoint: true, reason: 'the VM drains' });
      }
    }
  }

  /** Settles when nothing is left here and every end is written. */
  async finished(): Promise<void> {
    const { runtime } = this;
    while (runtime.draining && runtime.tasks.all().length + runtime.reports.size() > 0) {
      await sleep(POLL_MS);
    }
  }

  private begin(): void {
    const { context } = this.runtime;
    this.runtime.draining = true;
    this.startedAt = context.clock.now();
    context.state = AgentState.Leaving;
    context.heartbeatDue = true;
    this.record('drain the VM');
    context.logger.info('drain begins');
    this.run();
  }

  private end(): void {
    const { context } = this.runtime;
    this.runtime.draining = false;
    context.state = context.incarnation > 0 ? AgentState.Serving : AgentState.Starting;
    context.heartbeatDue = true;
    this.record('end the drain of the VM');
    context.logger.info('drain ends');
  }

  private record(decision: string): void {
    const { context, tasks } = this.runtime;
    recordAboutVm(context, {
      kind: DecisionKind.Drain,
      decision,
      inputs: [{ name: 'tasks', value: tasks.all().length }],
      rejected: [],
    });
  }
}
