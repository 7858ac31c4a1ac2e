/**
 * Reads the worker's lagging usage measurements and notes them with the tasks.
 */
import type { WorkerUsage } from '@figjunction/types';
import type { TaskRuntime } from './task-runtime.js';

export type UsageListener = (usage: WorkerUsage) => void;

export class UsagePoller {
  private lastMeasuredAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly runtime: TaskRuntime,
    private readonly listeners: UsageListener[],
  ) {}

  async poll(): Promise<void> {
    const { context, tasks } = this.runtime;
    const usage = await context.worker.readUsage();
    if (usage.measuredAtHostMs <= this.lastMeasuredAt) {
      return;
    }
    this.lastMeasuredAt = usage.measuredAtHostMs;
    context.room.usage = usage.tasks;
    for (const { taskId, used } of usage.tasks) {
      const entry = tasks.get(taskId);
      if (entry !== undefined && usage.measuredAtHostMs > entry.startedAt) {
        entry.measured = used;
      }
    }
    for (const listener of this.listeners) {
      listener(usage);
    }
  }
}
