/**
 * Reads the worker's usage measurements, which lag, stores them in the task entries and updates the size
 * estimates of kinds. The processor use of a throttled task is scaled up to its use without the throttle.
 */
import { recordUsage } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import type { TaskUsage } from '@figjunction/types';
import type { TaskEntry } from './task-table.js';
import type { TaskRuntime } from './task-runtime.js';
import { findThrottleAt } from './throttle-control.js';

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
    context.capacityReport.usage = usage.tasks
      .map((measurement) => this.recordMeasurement(measurement, measuredAt))
      .filter((measurement) => measurement !== null);
    for (const listener of usageListeners) {
      listener({ ...usage, tasks: context.capacityReport.usage });
    }
  }

  /** Returns null for a measurement from which the size of a batch task cannot be derived. */
  private recordMeasurement(measurement: TaskUsage, measuredAt: Instant): TaskUsage | null {
    const { tasks, estimates, context } = this.runtime;
    const entry = tasks.findRunningAt(measurement.taskId, measuredAt);
    const isBatch = measurement.slowdown === null;
    // Without an entry the throttle is unknown, and a suspended task uses no processors.
    if (isBatch && (entry === undefined || measurement.used.processorMillicores === 0)) {
      return null;
    }
    if (entry === undefined) {
      return measurement;
    }
    const used = scaleToUnthrottled(entry, measurement, measuredAt);
    if (used === null) {
      return null;
    }
    entry.measured = used;
    if (isBatch && context.settings.policy.learning) {
      recordUsage(estimates, { taskId: measurement.taskId, kind: entry.kind, used, measuredAt });
    }
    return { ...measurement, used };
  }
}

function scaleToUnthrottled(
  entry: TaskEntry,
  { used }: TaskUsage,
  measuredAt: Instant,
): TaskUsage['used'] | null {
  const throttle = findThrottleAt(entry, measuredAt);
  if (throttle === null) {
    return null;
  }
  const processorMillicores = Math.round(used.processorMillicores / Math.max(throttle, 0.01));
  return { ...used, processorMillicores };
}
