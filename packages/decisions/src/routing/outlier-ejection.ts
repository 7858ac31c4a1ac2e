/**
 * Outlier ejection: removes failing instances from load balancing and readmits them with a slow start. At
 * most half of a service's instances are ejected at once, so that a common fault does not eject all of them.
 */
import type { Instant } from '@figjunction/time';
import type { TaskId } from '@figjunction/types';

export const CONSECUTIVE_FAILURES_LIMIT = 5;
export const ERROR_RATE_ATTEMPTS_MINIMUM = 20;
export const ERROR_RATE_LIMIT = 0.5;
export const ERROR_WINDOW_MS = 10_000;
export const FIRST_EJECTION_MS = 5_000;
export const EJECTION_MS_MAXIMUM = 60_000;
export const SLOW_START_WEIGHT = 0.1;
export const SLOW_START_MS = 10_000;
const EJECTED_FRACTION_MAXIMUM = 0.5;
const BUCKET_MS = 1_000;

interface AttemptBucket {
  startedAt: Instant;
  attempts: number;
  failures: number;
}

export interface InstanceHealth {
  taskId: TaskId;
  consecutiveFailures: number;
  buckets: AttemptBucket[];
  /** End of the current or last ejection; null if the instance was never ejected. */
  ejectedUntil: Instant | null;
  /** Consecutive ejections; each one doubles the next duration. */
  ejections: number;
}

export interface Ejection {
  taskId: TaskId;
  durationMs: number;
  consecutiveFailures: number;
  attempts: number;
  failures: number;
}

export function createInstanceHealth(taskId: TaskId): InstanceHealth {
  return { taskId, consecutiveFailures: 0, buckets: [], ejectedUntil: null, ejections: 0 };
}

/** Records the result of an attempt in one-second buckets and drops buckets older than the window. */
export function recordAttempt(health: InstanceHealth, failed: boolean, now: Instant): void {
  health.consecutiveFailures = failed ? health.consecutiveFailures + 1 : 0;
  health.buckets = health.buckets.filter(({ startedAt }) => now - startedAt < ERROR_WINDOW_MS);
  let bucket = health.buckets[health.buckets.length - 1];
  if (bucket === undefined || now - bucket.startedAt >= BUCKET_MS) {
    bucket = { startedAt: now, attempts: 0, failures: 0 };
    health.buckets.push(bucket);
  }
  bucket.attempts += 1;
  bucket.failures += failed ? 1 : 0;
}

/** Ejects the outliers among the instances of one service and returns them. */
export function ejectOutliers(instances: InstanceHealth[], now: Instant): Ejection[] {
  const ejections: Ejection[] = [];
  let ejectedCount = instances.filter((health) => isEjected(health, now)).length;
  for (const health of instances) {
    const isBelowLimit = ejectedCount + 1 <= instances.length * EJECTED_FRACTION_MAXIMUM;
    if (isBelowLimit && !isEjected(health, now) && isOutlier(health, now)) {
      ejections.push(eject(health, now));
      ejectedCount += 1;
    }
  }
  return ejections;
}

/** Load-balancing weight: 0 while ejected, then rising linearly from `SLOW_START_WEIGHT` to 1. */
export function computeRoutingWeight(health: InstanceHealth, now: Instant): number {
  if (health.ejectedUntil === null) {
    return 1;
  }
  if (now < health.ejectedUntil) {
    return 0;
  }
  const progress = (now - health.ejectedUntil) / SLOW_START_MS;
  return Math.min(1, SLOW_START_WEIGHT + (1 - SLOW_START_WEIGHT) * progress);
}

function isEjected(health: InstanceHealth, now: Instant): boolean {
  return health.ejectedUntil !== null && now < health.ejectedUntil;
}

function isOutlier(health: InstanceHealth, now: Instant): boolean {
  const { attempts, failures } = sumRecentAttempts(health, now);
  return (
    health.consecutiveFailures >= CONSECUTIVE_FAILURES_LIMIT ||
    (attempts >= ERROR_RATE_ATTEMPTS_MINIMUM && failures > attempts * ERROR_RATE_LIMIT)
  );
}

function sumRecentAttempts(
  health: InstanceHealth,
  now: Instant,
): { attempts: number; failures: number } {
  const recent = health.buckets.filter(({ startedAt }) => now - startedAt < ERROR_WINDOW_MS);
  return {
    attempts: recent.reduce((sum, bucket) => sum + bucket.attempts, 0),
    failures: recent.reduce((sum, bucket) => sum + bucket.failures, 0),
  };
}

function eject(health: InstanceHealth, now: Instant): Ejection {
  const { attempts, failures } = sumRecentAttempts(health, now);
  const { taskId, consecutiveFailures, ejectedUntil } = health;
  // Another ejection soon after the last one ended shows that the fault persists.
  const isRepeated = ejectedUntil !== null && now - ejectedUntil < EJECTION_MS_MAXIMUM;
  health.ejections = isRepeated ? health.ejections + 1 : 1;
  const uncappedMs = FIRST_EJECTION_MS * 2 ** (health.ejections - 1);
  const durationMs = Math.min(EJECTION_MS_MAXIMUM, uncappedMs);
  health.ejectedUntil = now + durationMs;
  health.consecutiveFailures = 0;
  health.buckets = [];
  return { taskId, durationMs, consecutiveFailures, attempts, failures };
}
