/**
 * Starts tasks alone that several VMs have crashed under, so that a further crash shows whether they cause it. Such
 * a trial keeps a VM free of other starts for a limited time: until the runs there have ended or shown progress, and
 * then until the run on trial has.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import { RunPhase } from './records.js';
import type { RunRecord, TaskRecord, VmRecord } from './records.js';

/** A task with this many crashes is started on trial. */
const TRIAL_CRASHES = 2;
/** A run without progress counts as starting for this long. */
const STARTING_MAXIMUM_MS = 3_000;
/** At most this share of the VMs of a service is kept for trials, and at least one VM. */
const TRIAL_VMS_SHARE = 0.25;
/** A VM that is kept for a trial may finish its runs for this long; then the trial begins beside them. */
const EMPTYING_MAXIMUM_MS = 1_500;
/** A VM is kept for this long at most; a task that has waited as long is started beside other starts. */
const TRIAL_WAIT_MAXIMUM_MS = 2_000;

/** True if the task has to start alone. Members of a gang start together in any case. */
export function needsTrial({ crashes, step }: TaskRecord): boolean {
  return crashes.length >= TRIAL_CRASHES && !step.specification.gang;
}

/** True while the VM is kept for another task than this one; for null, while it is kept for any. */
export function isKeptFromTask(vm: VmRecord, task: TaskRecord | null, now: Instant): boolean {
  const { trial } = vm;
  const isReserved = trial !== null && trial.task !== task && now < trial.validUntil;
  return isReserved || hasTrialInProgress(vm, now);
}

/** Placement asks this for each task and VM, so it does not search the runs of the VM. */
function hasTrialInProgress({ runOnTrial }: VmRecord, now: Instant): boolean {
  return (
    runOnTrial !== null && isStarting(runOnTrial, now) && runOnTrial.task.runs.includes(runOnTrial)
  );
}

/** True if the task has waited so long for a trial that it is started beside others. */
export function mayStartWithoutTrial({ waitingSince }: TaskRecord, now: Instant): boolean {
  return now - waitingSince >= TRIAL_WAIT_MAXIMUM_MS;
}

/** Returns the VM that is kept for the trial of the task; null if there is none. */
export function findKeptVm(vms: VmRecord[], task: TaskRecord, now: Instant): VmRecord | null {
  return vms.find(({ trial }) => trial?.task === task && now < trial.validUntil) ?? null;
}

/** True if fewer VMs of the service than the allowed share are kept for trials. */
export function mayKeepVm({ vms }: CellState, service: string, now: Instant): boolean {
  const ofService = [...vms.values()].filter(
    ({ session, announcement }) => session !== 0 && announcement?.service === service,
  );
  const keptCount = ofService.filter((vm) => isKeptFromTask(vm, null, now)).length;
  return keptCount < Math.max(1, Math.floor(ofService.length * TRIAL_VMS_SHARE));
}

/** Keeps the VM for the trial of the task while its runs end or show progress. */
export function keepForTrial(vm: VmRecord, task: TaskRecord, now: Instant): void {
  vm.trial = { task, emptyBy: now + EMPTYING_MAXIMUM_MS, validUntil: now + TRIAL_WAIT_MAXIMUM_MS };
}

/** Releases the VMs that are kept for the trial of the task, which starts now. */
export function endReservation(vms: VmRecord[], task: TaskRecord): void {
  for (const vm of vms) {
    if (vm.trial?.task === task) {
      vm.trial = null;
    }
  }
}

/** True if the VM is kept for the task and empty, or has had time to become so and no run is starting there. */
export function isReadyForTrial(vm: VmRecord, task: TaskRecord, now: Instant): boolean {
  const { runs, trial } = vm;
  if (trial === null || trial.task !== task) {
    return false;
  }
  const isAnyStarting = [...runs.values()].some((run) => isStarting(run, now));
  return runs.size === 0 || (now >= trial.emptyBy && !isAnyStarting);
}

/** Returns the VM with the fewest runs, which a crash would end; null if there is none. */
export function findVmWithFewestRuns(vms: VmRecord[]): VmRecord | null {
  const [fewest = null] = [...vms].sort((left, right) => left.runs.size - right.runs.size);
  return fewest;
}

function isStarting({ phase, percent, runningSince }: RunRecord, now: Instant): boolean {
  const isAtWork = phase !== RunPhase.Stopping;
  return isAtWork && percent === 0 && now - runningSince < STARTING_MAXIMUM_MS;
}
