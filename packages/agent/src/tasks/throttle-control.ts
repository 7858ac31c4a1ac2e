/**
 * Sets the throttles of batch tasks: the lower of the throttle that the guards request and the throttle that
 * keeps the tasks within the processors of the VM.
 */
import { planThrottles } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { TaskType } from '@figjunction/types';
import { createOverloadTask } from './task-loads.js';
import { TaskPhase } from './task-table.js';
import type { TaskEntry } from './task-table.js';
import { holdsLease } from './task-runtime.js';
import type { TaskRuntime } from './task-runtime.js';

/** Smaller changes are not sent, except a release to 1. */
const CHANGE_MINIMUM = 0.02;

/** Older changes are dropped: they precede any measurement that can still arrive. */
const THROTTLE_CHANGES_MAXIMUM = 32;

export async function controlThrottles(runtime: TaskRuntime): Promise<void> {
  const { context, tasks } = runtime;
  const running = tasks.inPhase(TaskPhase.Running, TaskPhase.Unadopted);
  const throttles = planThrottles(
    context.capacityReport.capacity,
    running.map((entry) => createOverloadTask(runtime, entry)),
  );
  const changes = running
    .filter((entry) => entry.type === TaskType.Batch && entry.phase === TaskPhase.Running)
    .map((entry) => ({
      entry,
      throttle: Math.min(entry.guardThrottle, throttles.get(entry.taskId) ?? 1),
    }))
    .filter(
      ({ entry, throttle }) =>
        entry.throttleSentAt !== null || isSignificantChange(entry.throttle, throttle),
    );
  // A task may have ended in the meantime; other failures are retried on the next run.
  await Promise.allSettled(
    changes.map(({ entry, throttle }) => setThrottle(runtime, entry, throttle)),
  );
}

/** The throttle in effect at the time of a measurement; null while a change was in progress. */
export function findThrottleAt(entry: TaskEntry, measuredAt: Instant): number | null {
  const { throttleSentAt, throttleChanges } = entry;
  const isUncertain =
    (throttleSentAt !== null && measuredAt >= throttleSentAt) ||
    throttleChanges.some(({ sentAt, at }) => measuredAt >= sentAt && measuredAt < at);
  if (isUncertain) {
    return null;
  }
  const before = entry.throttleChanges.filter(({ at }) => at <= measuredAt);
  return before[before.length - 1]?.throttle ?? 1;
}

function isSignificantChange(current: number, wanted: number): boolean {
  return wanted !== current && (wanted === 1 || Math.abs(wanted - current) >= CHANGE_MINIMUM);
}

async function setThrottle(
  { context }: TaskRuntime,
  entry: TaskEntry,
  throttle: number,
): Promise<void> {
  if (!holdsLease(context)) {
    return;
  }
  const { incarnation } = context;
  // A call without a response may have taken effect, so the time of the first such call is kept.
  const sentAt = entry.throttleSentAt ?? context.clock.now();
  entry.throttleSentAt = sentAt;
  await context.worker.throttle(entry.taskId, { incarnation, attempt: entry.attempt, throttle });
  entry.throttle = throttle;
  entry.throttleChanges.push({
    sentAt,
    at: context.clock.now(),
    throttle,
  });
  entry.throttleSentAt = null;
  entry.throttleChanges.splice(0, entry.throttleChanges.length - THROTTLE_CHANGES_MAXIMUM);
}
