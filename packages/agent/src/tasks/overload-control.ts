/**
 * Lets tasks leave when the VM turns out to hold more than it can carry: at once where memory or
 * accelerators are over, later where throttling holds but starves the tasks.
 */
import { planOverloadEvictions } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { DecisionKind, TaskType } from '@figjunction/types';
import type { Resources, TaskId } from '@figjunction/types';
import { decisionAboutRun } from './decision-about-run.js';
import { countedTotal, overloadTaskOf } from './room-loads.js';
import { orderStop } from './stop-orders.js';
import { TaskPhase } from './task-table.js';
import type { TaskRuntime } from './task-runtime.js';

/** Processors may be over for this long, while throttles hold, before a task leaves. */
const THROTTLED_MS_MAXIMUM = 10_000;

export class OverloadControl {
  /** Since when the processors do not suffice without throttles; null when they do. */
  private processorsOverSince: Instant | null = null;

  constructor(private readonly runtime: TaskRuntime) {}

  run(): void {
    const { context } = this.runtime;
    if (!context.settings.policy.learning) {
      return;
    }
    const leaving = this.tasksToEvict(['memoryMegabytes', 'accelerators']);
    this.evict(leaving, 'memory or accelerators of the VM do not suffice');
    this.relieveProcessors();
  }

  private relieveProcessors(): void {
    const { clock } = this.runtime.context;
    const leaving = this.tasksToEvict(['processorMillicores']);
    if (leaving.length === 0) {
      this.processorsOverSince = null;
      return;
    }
    this.processorsOverSince ??= clock.now();
    if (clock.now() - this.processorsOverSince >= THROTTLED_MS_MAXIMUM) {
      // One at a time: the others gain processors from it.
      this.evict(leaving.slice(0, 1), 'the processors of the VM do not suffice');
      this.processorsOverSince = clock.now();
    }
  }

  /** Tasks that already leave count as gone. */
  private tasksToEvict(resources: (keyof Resources)[]): TaskId[] {
    const staying = this.runtime.tasks
      .inPhase(TaskPhase.Running)
      .filter((entry) => entry.order === null)
      .map((entry) => overloadTaskOf(this.runtime, entry));
    return planOverloadEvictions(this.runtime.context.room.capacity, staying, resources);
  }

  private evict(taskIds: TaskId[], reason: string): void {
    const { runtime } = this;
    for (const taskId of taskIds) {
      const entry = runtime.tasks.get(taskId);
      if (entry !== undefined && entry.type === TaskType.Batch) {
        const decision = decisionAboutRun(runtime, entry, {
          kind: DecisionKind.Evict,
          decision: `evict the run: ${reason}`,
          inputs: [{ name: 'countedUse', value: JSON.stringify(countedTotal(runtime)) }],
          rejected: [{ option: 'keep it throttled', reason }],
        });
        orderStop(runtime, entry, { checkpoint: true, reason, decision });
      }
    }
  }
}
