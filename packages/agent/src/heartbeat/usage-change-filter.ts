/**
 * Keeps measurement noise out of heartbeats: the usage that is announced changes by a stated step, or after
 * a stated interval. What the readers at an entry see because of it:
 * - sizes of kinds (largest use per task): a new task and a step are seen with the next heartbeat; a rise
 *   below the step is missing for at most 10 s. Admission is not affected, the agent counts its own
 *   measurements.
 * - interference and placement (load of the VM, slowdown of services): wrong by less than the step for at
 *   most 10 s, on top of the lag of the worker's measurement.
 * - guards read the worker's measurements at the agent and see no lag.
 */
import type { Instant } from '@figjunction/time';
import type { Resources, TaskUsage } from '@figjunction/types';

/** Differences below the step are announced this late. */
export const USAGE_INTERVAL_MS = 10_000;

/** Part of a task's announced use by which it must move. */
const TASK_STEP = 0.25;

/** A smaller move of one task is noise at any size of the task. */
const TASK_STEP_MILLICORES = 100;
const TASK_STEP_MEGABYTES = 64;

/** Part of the VM's processors by which the sum must move; placement works on bands of load of 20 %. */
const LOAD_STEP = 0.05;

/** Guards act above a slowdown of 1.3 and relax below 1.1. */
const SLOWDOWN_STEP = 0.1;

export class SteadyUsage {
  private announced: TaskUsage[] = [];

  private announcedAt: Instant = Number.NEGATIVE_INFINITY;

  /** What to announce now, given the newest measurement. */
  select(measured: TaskUsage[], capacity: Resources, now: Instant): TaskUsage[] {
    if (measured === this.announced) {
      return this.announced;
    }
    const isDue = now - this.announcedAt >= USAGE_INTERVAL_MS;
    if (isDue || this.hasStep(measured, capacity)) {
      this.announced = measured;
      this.announcedAt = now;
    }
    return this.announced;
  }

  private hasStep(measured: TaskUsage[], capacity: Resources): boolean {
    const load = totalMillicores(measured) - totalMillicores(this.announced);
    if (Math.abs(load) >= LOAD_STEP * capacity.processorMillicores) {
      return true;
    }
    const before = new Map(this.announced.map((one) => [one.taskId, one]));
    return (
      measured.length !== before.size || measured.some((one) => isStep(before.get(one.taskId), one))
    );
  }
}

function isStep(before: TaskUsage | undefined, now: TaskUsage): boolean {
  if (before === undefined || before.kind !== now.kind) {
    return true;
  }
  if ((before.slowdown === null) !== (now.slowdown === null)) {
    return true;
  }
  return (
    before.used.accelerators !== now.used.accelerators ||
    Math.abs((now.slowdown ?? 0) - (before.slowdown ?? 0)) >= SLOWDOWN_STEP ||
    moved(before.used.processorMillicores, now.used.processorMillicores, TASK_STEP_MILLICORES) ||
    moved(before.used.memoryMegabytes, now.used.memoryMegabytes, TASK_STEP_MEGABYTES)
  );
}

function moved(before: number, now: number, leastStep: number): boolean {
  return Math.abs(now - before) >= Math.max(leastStep, before * TASK_STEP);
}

function totalMillicores(usage: TaskUsage[]): number {
  return usage.reduce((sum, { used }) => sum + used.processorMillicores, 0);
}
