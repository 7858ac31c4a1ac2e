/**
 * Tells VMs that fail or stall everything from jobs that can never be done: a VM is cooled down when runs
 * of several jobs have gone wrong on it and none was done since.
 */
import type { Instant } from '@figjunction/time';
import { StartRefusal } from '@figjunction/types';
import type { TaskRecord, VmRecord } from './records.js';

/** Failed jobs without a success between them from which a VM is suspected. */
const SUSPECT_JOBS = 2;
const SUSPECT_COOL_DOWN_MS = 4_000;
const UNHEALTHY_COOL_DOWN_MS = 500;
const UNANSWERED_COOL_DOWN_MS = 1_000;
const NO_ROOM_COOL_DOWN_MS = 200;

const REFUSAL_COOL_DOWNS_MS: Partial<Record<StartRefusal, number>> = {
  [StartRefusal.Unhealthy]: UNHEALTHY_COOL_DOWN_MS,
  [StartRefusal.Unanswered]: UNANSWERED_COOL_DOWN_MS,
  [StartRefusal.NoRoom]: NO_ROOM_COOL_DOWN_MS,
  [StartRefusal.LeaseExpired]: NO_ROOM_COOL_DOWN_MS,
  [StartRefusal.NoSession]: NO_ROOM_COOL_DOWN_MS,
};

export function noteSuccess(vm: VmRecord, now: Instant): void {
  vm.health.failedJobs.clear();
  vm.health.succeededAt = now;
}

export function noteFailure(vm: VmRecord, task: TaskRecord, now: Instant): void {
  vm.health.failedJobs.add(task.step.occurrence.job.id);
  if (isSuspect(vm)) {
    vm.health.cooledUntil = Math.max(vm.health.cooledUntil, now + SUSPECT_COOL_DOWN_MS);
  }
}

export function noteRefusal(vm: VmRecord, refusal: StartRefusal, now: Instant): void {
  const coolDownMs = REFUSAL_COOL_DOWNS_MS[refusal] ?? 0;
  vm.health.cooledUntil = Math.max(vm.health.cooledUntil, now + coolDownMs);
}

export function isSuspect(vm: VmRecord): boolean {
  return vm.health.failedJobs.size >= SUSPECT_JOBS;
}

/** A suspect VM takes one run at a time once it has cooled down. */
export function mayTakeRuns(vm: VmRecord, now: Instant): boolean {
  return vm.health.cooledUntil <= now && !(isSuspect(vm) && vm.runs.size > 0);
}
