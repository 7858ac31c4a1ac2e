/**
 * Lets tasks leave when the VM turns out to hold more than it can carry: at once where memory or
 * accelerators are over, later where throttling holds but starves the tasks.
 */
import { planOverloadEvictions } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { DecisionKind, TaskType } from '@figjunction/types';
import type { Resources, TaskId } from '@figjunction/types';
import { decisionAboutRun } from './decision-about-run.js';
import { sumCountedSizes, createOverloadTask } from './room-loads.js';
import { orderStop } from './stop-orders.js';
import { TaskPhase } from './task-table.js';
import type { TaskRuntime } from './task-runtime.js';

/** Processors may be over for this long, while throttles hold, before a task leaves. */
const THROTTLING_TIMEOUT_MS = 10_000;

export class OverloadControl {
  /** Since when the processors do not suffice without throttles; null when they do. */
  private processorOverloadSince: Instant | null = null;

  constructor(private readonly runtime: TaskRuntime) {}

  run(): void {
    const { context } = this.runtime;
    if (!context.settings.policy.learning) {
      return;
    }
    const evictions = this.planEvictions(['memoryMegabytes', 'accelerators']);
    this.evict(evictions, 'memory or accelerators of the VM do not suffice');
    this.evictOnProcessorOverload();
  }

  private evictOnProcessorOverload(): void {
    const { clock } = this.runtime.context;
    const evictions = this.planEvictions(['processorMillicores']);
    if (evictions.length === 0) {
      this.processorOverloadSince = null;
      return;
    }
    this.processorOverloadSince ??= clock.now();
    if (clock.now() - this.processorOverloadSince >= THROTTLING_TIMEOUT_MS) {
      // One at a time: the others gain processors from it.
      this.evict(evictions.slice(0, 1), 'the processors of the VM do not suffice');
      this.processorOverloadSince = clock.now();
    }
  }

  /** Tasks that already leave count as gone. */
  private planEvictions(resources: (keyof Resources)[]): TaskId[] {
    const candidates = this.runtime.tasks
      .inPhase(TaskPhase.Running)
      .filter((entry) => entry.order === null)
      .map((entry) => createOverloadTask(this.runtime, entry));
    return planOverloadEvictions(this.runtime.context.room.capacity, candidates, resources);
  }

  private evict(taskIds: TaskId[], reason: string): void {
    const { runtime } = this;
    for (const taskId of taskIds) {
      const entry = runtime.tasks.get(taskId);
      if (entry !== undefined && entry.type === TaskType.Batch) {
        const decision = decisionAboutRun(runtime, entry, {
          kind: DecisionKind.Evict,
          decision: `evict the run: ${reason}`,
          inputs: [{ name: 'countedUse', value: JSON.stringify(sumCountedSizes(runtime)) }],
          rejected: [{ option: 'keep it throttled', reason }],
        });
        orderStop(runtime, entry, { checkpoint: true, reason, decision });
      }
    }
  }
}
