/**
 * Reads the worker's lagging usage measurements, notes them with the tasks and learns from them. A
 * throttled task shows fewer processors than it asks for, so its use is scaled back up.
 */
import { recordUsage } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import type { TaskUsage } from '@figjunction/types';
import type { TaskEntry } from './task-table.js';
import type { TaskRuntime } from './task-runtime.js';
import { throttleAt } from './throttle-control.js';

export class UsagePoller {
  private lastMeasuredAt: Instant = Number.NEGATIVE_INFINITY;

  constructor(private readonly runtime: TaskRuntime) {}

  async poll(): Promise<void> {
    const { context, usageListeners } = this.runtime;
    const usage = await context.worker.readUsage();
    const { measuredAtHostMs: measuredAt } = usage;
    if (measuredAt <= this.lastMeasuredAt) {
      return;
    }
    this.lastMeasuredAt = measuredAt;
    context.room.usage = usage.tasks
      .map((one) => this.note(one, measuredAt))
      .filter((one) => one !== null);
    for (const listener of usageListeners) {
      listener({ ...usage, tasks: context.room.usage });
    }
  }

  /** Null for a measurement that tells nothing of the size of a batch task. */
  private note(one: TaskUsage, measuredAt: Instant): TaskUsage | null {
    const { tasks, estimates, context } = this.runtime;
    const entry = tasks.findRunningAt(one.taskId, measuredAt);
    const isBatch = one.slowdown === null;
    // The throttle of an unknown task is not known either, and a suspended task uses no processors.
    if (isBatch && (entry === undefined || one.used.processorMillicores === 0)) {
      return null;
    }
    if (entry === undefined) {
      return one;
    }
    const used = withoutThrottle(entry, one, measuredAt);
    if (used === null) {
      return null;
    }
    entry.measured = used;
    if (isBatch && context.settings.policy.learning) {
      recordUsage(estimates, { taskId: one.taskId, kind: entry.kind, used, measuredAt });
    }
    return { ...one, used };
  }
}

function withoutThrottle(
  entry: TaskEntry,
  { used }: TaskUsage,
  measuredAt: Instant,
): TaskUsage['used'] | null {
  const throttle = throttleAt(entry, measuredAt);
  if (throttle === null) {
    return null;
  }
  const processorMillicores = Math.round(used.processorMillicores / Math.max(throttle, 0.01));
  return { ...used, processorMillicores };
}
