/**
 * Distinguishes faulty VMs from jobs that always fail. A VM becomes suspect when runs of several jobs have failed or
 * stalled on it without a success in between. It then gets no runs for a backoff period and more and more after it,
 * until a run succeeds or the suspicion ends. Suspicion always ends by itself: what else runs on the VM may never
 * succeed, and other jobs may have been at fault. VMs that refuse runs get none for a backoff period either.
 */
import type { Instant } from '@figjunction/time';
import { StartRefusal } from '@figjunction/types';
import type { StepRecord, TaskRecord, VmHealth, VmRecord, VmSuspicion } from './records.js';

/** A VM is suspect from this number of failed jobs without a success in between. */
const SUSPECT_FAILED_JOBS = 2;
const SUSPECT_BACKOFF_MS = 2_000;
/** After the backoff one run may start, and twice as many after each of these intervals. */
const SLOW_START_DOUBLING_MS = 500;
const SLOW_START_MS = 4 * SLOW_START_DOUBLING_MS;
const UNHEALTHY_BACKOFF_MS = 500;
const NO_RESPONSE_BACKOFF_MS = 1_000;
const NO_CAPACITY_BACKOFF_MS = 200;

const REFUSAL_BACKOFFS_MS: Partial<Record<StartRefusal, number>> = {
  [StartRefusal.Unhealthy]: UNHEALTHY_BACKOFF_MS,
  [StartRefusal.Unanswered]: NO_RESPONSE_BACKOFF_MS,
  [StartRefusal.Unreachable]: NO_RESPONSE_BACKOFF_MS,
  [StartRefusal.OrderExpired]: NO_RESPONSE_BACKOFF_MS,
  [StartRefusal.NoRoom]: NO_CAPACITY_BACKOFF_MS,
  [StartRefusal.LeaseExpired]: NO_CAPACITY_BACKOFF_MS,
  [StartRefusal.NoSession]: NO_CAPACITY_BACKOFF_MS,
};

/** The health of a VM on which no run has ended. */
export function createVmHealth(): VmHealth {
  return { failedJobs: new Set(), succeededAt: null, suspicion: null, backoffUntil: 0 };
}

/** Records a successful run and clears the failures of the VM. */
export function recordSuccess(vm: VmRecord, now: Instant): void {
  clearSuspicion(vm);
  vm.health.succeededAt = now;
}

/**
 * Records a failed or stalled run that was placed at `placedAt`. Only one that was placed since the VM became suspect, of
 * a job that had not failed there before, renews the suspicion: the others were part of the evidence for it.
 */
export function recordFailure(
  vm: VmRecord,
  task: TaskRecord,
  placedAt: Instant,
  now: Instant,
): void {
  const { health } = vm;
  if (health.suspicion !== null && health.suspicion.endsAt <= now) {
    clearSuspicion(vm);
  }
  const { id } = task.step.occurrence.job;
  const isRenewal =
    health.suspicion === null || (placedAt >= health.suspicion.since && !health.failedJobs.has(id));
  health.failedJobs.add(id);
  if (health.failedJobs.size >= SUSPECT_FAILED_JOBS && isRenewal) {
    const backoffUntil = now + SUSPECT_BACKOFF_MS;
    health.suspicion = { since: now, backoffUntil, endsAt: backoffUntil + SLOW_START_MS };
  }
}

function clearSuspicion({ health }: VmRecord): void {
  health.failedJobs.clear();
  health.suspicion = null;
}

/** Starts the backoff for a refused run. Reasons without an entry in the table start none. */
export function recordRefusal(vm: VmRecord, refusal: StartRefusal, now: Instant): void {
  const backoffMs = REFUSAL_BACKOFFS_MS[refusal] ?? 0;
  vm.health.backoffUntil = Math.max(vm.health.backoffUntil, now + backoffMs);
}

export function isSuspect({ health }: VmRecord, now: Instant): boolean {
  return health.suspicion !== null && now < health.suspicion.endsAt;
}

/** False during a backoff, and while a suspect VM has as many new runs as the slow start allows. */
export function isAvailableForRuns(vm: VmRecord, step: StepRecord, now: Instant): boolean {
  const { backoffUntil, suspicion } = vm.health;
  if (now < backoffUntil) {
    return false;
  }
  return suspicion === null || !isSuspect(vm, now) || isWithinSlowStart(vm, suspicion, step, now);
}

/** Long-running steps are not limited: their runs show neither that the VM is sound nor that it is faulty. */
function isWithinSlowStart(
  { runs }: VmRecord,
  { since, backoffUntil }: VmSuspicion,
  { specification }: StepRecord,
  now: Instant,
): boolean {
  if (now < backoffUntil) {
    return false;
  }
  if (specification.longRunning) {
    return true;
  }
  const newRuns = [...runs.values()].filter(
    ({ placedAt, task }) => placedAt >= since && !task.step.specification.longRunning,
  );
  const doublings = Math.floor((now - backoffUntil) / SLOW_START_DOUBLING_MS);
  return newRuns.length < 2 ** doublings;
}
