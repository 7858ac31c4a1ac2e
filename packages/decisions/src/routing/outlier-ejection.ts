/**
 * Takes instances that fail out of the rotation and lets them return gradually. At most half of a
 * service's instances are out at once, so that a fault common to all of them ejects none of the rest.
 */
import type { Instant } from '@figjunction/time';
import type { TaskId } from '@figjunction/types';

export const CONSECUTIVE_FAILURES = 5;
export const ERROR_RATE_ATTEMPTS = 20;
export const ERROR_RATE_LIMIT = 0.5;
export const ERROR_WINDOW_MS = 10_000;
export const FIRST_EJECTION_MS = 5_000;
export const LONGEST_EJECTION_MS = 60_000;
export const RETURN_WEIGHT = 0.1;
export const RETURN_MS = 10_000;
const EJECTED_FRACTION = 0.5;
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
  /** End of the current or last ejection; null when there was none. */
  ejectedUntil: Instant | null;
  /** Ejections in a row, which double the next one. */
  ejections: number;
}

export interface Ejection {
  taskId: TaskId;
  durationMs: number;
  consecutiveFailures: number;
  attempts: number;
  failures: number;
}

export function createHealth(taskId: TaskId): InstanceHealth {
  return { taskId, consecutiveFailures: 0, buckets: [], ejectedUntil: null, ejections: 0 };
}

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
  let out = instances.filter((health) => isEjected(health, now)).length;
  for (const health of instances) {
    const mayEject = out + 1 <= instances.length * EJECTED_FRACTION;
    if (mayEject && !isEjected(health, now) && isOutlier(health, now)) {
      ejections.push(eject(health, now));
      out += 1;
    }
  }
  return ejections;
}

/** 0 while ejected, then rising from a tenth to 1. */
export function weightOf(health: InstanceHealth, now: Instant): number {
  if (health.ejectedUntil === null) {
    return 1;
  }
  if (now < health.ejectedUntil) {
    return 0;
  }
  const returned = (now - health.ejectedUntil) / RETURN_MS;
  return Math.min(1, RETURN_WEIGHT + (1 - RETURN_WEIGHT) * returned);
}

function isEjected(health: InstanceHealth, now: Instant): boolean {
  return health.ejectedUntil !== null && now < health.ejectedUntil;
}

function isOutlier(health: InstanceHealth, now: Instant): boolean {
  const { attempts, failures } = totals(health, now);
  return (
    health.consecutiveFailures >= CONSECUTIVE_FAILURES ||
    (attempts >= ERROR_RATE_ATTEMPTS && failures > attempts * ERROR_RATE_LIMIT)
  );
}

function totals(health: InstanceHealth, now: Instant): { attempts: number; failures: number } {
  const recent = health.buckets.filter(({ startedAt }) => now - startedAt < ERROR_WINDOW_MS);
  return {
    attempts: recent.reduce((sum, bucket) => sum + bucket.attempts, 0),
    failures: recent.reduce((sum, bucket) => sum + bucket.failures, 0),
  };
}

function eject(health: InstanceHealth, now: Instant): Ejection {
  const { attempts, failures } = totals(health, now);
  const { taskId, consecutiveFailures, ejectedUntil } = health;
  // A failure soon after the return shows that the fault lasts.
  const isRepeated = ejectedUntil !== null && now - ejectedUntil < LONGEST_EJECTION_MS;
  health.ejections = isRepeated ? health.ejections + 1 : 1;
  const doubled = FIRST_EJECTION_MS * 2 ** (health.ejections - 1);
  const durationMs = Math.min(LONGEST_EJECTION_MS, doubled);
  health.ejectedUntil = now + durationMs;
  health.consecutiveFailures = 0;
  health.buckets = [];
  return { taskId, durationMs, consecutiveFailures, attempts, failures };
}
