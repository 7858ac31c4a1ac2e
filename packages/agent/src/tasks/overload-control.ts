/**
 * Evicts batch tasks when the tasks on the VM exceed its capacity: at once for memory and accelerators, and
 * for processors only after a long period of throttling, which keeps the VM usable but starves the tasks.
 */
import { planOverloadEvictions } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { DecisionKind, TaskType } from '@figjunction/types';
import type { Resources, TaskId } from '@figjunction/types';
import { recordRunDecision } from './decision-records.js';
import { sumCountedSizes, createOverloadTask } from './task-loads.js';
import { orderStop } from './stop-orders.js';
import { TaskPhase } from './task-table.js';
import type { TaskRuntime } from './task-runtime.js';

/** How long the tasks may need throttles to fit on the processors before one is evicted. */
const THROTTLING_TIMEOUT_MS = 10_000;

export class OverloadControl {
  /** Since when the tasks need throttles to fit on the processors; null while they fit without. */
  private processorOverloadSince: Instant | null = null;

  constructor(private readonly runtime: TaskRuntime) {}

  run(): void {
    const { context } = this.runtime;
    if (!context.settings.policy.learning) {
      return;
    }
    const evictions = this.planEvictions(['memoryMegabytes', 'accelerators']);
    this.evict(evictions, 'the VM has too little memory or too few accelerators');
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
      // Evicts one task at a time, because each eviction frees processors for the others.
      this.evict(evictions.slice(0, 1), 'the VM has too few processors');
      this.processorOverloadSince = clock.now();
    }
  }

  /** Tasks with a stop order are not counted: their capacity will be free soon. */
  private planEvictions(resources: (keyof Resources)[]): TaskId[] {
    const candidates = this.runtime.tasks
      .inPhase(TaskPhase.Running)
      .filter((entry) => entry.stopOrder === null)
      .map((entry) => createOverloadTask(this.runtime, entry));
    return planOverloadEvictions(
      this.runtime.context.capacityReport.capacity,
      candidates,
      resources,
    );
  }

  private evict(taskIds: TaskId[], reason: string): void {
    const { runtime } = this;
    for (const taskId of taskIds) {
      const entry = runtime.tasks.get(taskId);
      if (entry !== undefined && entry.type === TaskType.Batch) {
        const decision = recordRunDecision(runtime, entry, {
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
