/**
 * Keeps measurement noise out of heartbeats: a new usage is announced only if it differs by a threshold, or
 * after an interval. Effects on the users of the announced usage:
 * - size estimates of kinds (largest use per task) at the entry: a new task or a change above the threshold
 *   is in the next heartbeat; a smaller rise is missing for at most 10 s. Admission is not affected, because
 *   the agent uses its own measurements.
 * - interference and placement (load of the VM, slowdown of services) at the entry: wrong by less than the
 *   threshold for at most 10 s, in addition to the lag of the worker's measurement.
 * - guards run on the agent with the worker's measurements and see no delay.
 */
import type { Instant } from '@figjunction/time';
import type { Resources, TaskUsage } from '@figjunction/types';

/** Interval after which changes below the thresholds are announced. */
export const USAGE_INTERVAL_MS = 10_000;

/** Threshold for the use of one task, as a fraction of its announced use. */
const TASK_CHANGE_FRACTION = 0.25;

/** Lower bounds of that threshold; a smaller change is noise for a task of any size. */
const TASK_CHANGE_MINIMUM_MILLICORES = 100;
const TASK_CHANGE_MINIMUM_MEGABYTES = 64;

/** Threshold for the load of the VM, as a fraction of its processors; placement uses load bands of 20 %. */
const VM_LOAD_CHANGE_FRACTION = 0.05;

/** Threshold for a slowdown factor; guards act above 1.3 and relax below 1.1. */
const SLOWDOWN_CHANGE_MINIMUM = 0.1;

export class UsageChangeFilter {
  private announced: TaskUsage[] = [];

  private announcedAt: Instant = Number.NEGATIVE_INFINITY;

  /** Returns the usage to announce: the new measurement, or the one announced last if the change is noise. */
  select(measured: TaskUsage[], capacity: Resources, now: Instant): TaskUsage[] {
    if (measured === this.announced) {
      return this.announced;
    }
    const isDue = now - this.announcedAt >= USAGE_INTERVAL_MS;
    if (isDue || this.hasSignificantChange(measured, capacity)) {
      this.announced = measured;
      this.announcedAt = now;
    }
    return this.announced;
  }

  private hasSignificantChange(measured: TaskUsage[], capacity: Resources): boolean {
    const load = sumMillicores(measured) - sumMillicores(this.announced);
    if (Math.abs(load) >= VM_LOAD_CHANGE_FRACTION * capacity.processorMillicores) {
      return true;
    }
    const before = new Map(this.announced.map((one) => [one.taskId, one]));
    return (
      measured.length !== before.size ||
      measured.some((one) => isSignificantChange(before.get(one.taskId), one))
    );
  }
}

function isSignificantChange(before: TaskUsage | undefined, now: TaskUsage): boolean {
  if (before === undefined || before.kind !== now.kind) {
    return true;
  }
  if ((before.slowdown === null) !== (now.slowdown === null)) {
    return true;
  }
  return (
    before.used.accelerators !== now.used.accelerators ||
    Math.abs((now.slowdown ?? 0) - (before.slowdown ?? 0)) >= SLOWDOWN_CHANGE_MINIMUM ||
    exceedsThreshold(
      before.used.processorMillicores,
      now.used.processorMillicores,
      TASK_CHANGE_MINIMUM_MILLICORES,
    ) ||
    exceedsThreshold(
      before.used.memoryMegabytes,
      now.used.memoryMegabytes,
      TASK_CHANGE_MINIMUM_MEGABYTES,
    )
  );
}

function exceedsThreshold(before: number, now: number, minimumChange: number): boolean {
  return Math.abs(now - before) >= Math.max(minimumChange, before * TASK_CHANGE_FRACTION);
}

function sumMillicores(usage: TaskUsage[]): number {
  return usage.reduce((sum, { used }) => sum + used.processorMillicores, 0);
}
