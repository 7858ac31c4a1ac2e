/**
 * Rules of placement: whether a VM is eligible for a task, whether the task fits, and at what cost.
 */
import type { Instant } from '@figjunction/time';
import { VmState } from '@figjunction/types';
import type { Resources } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import type { StepRecord, TaskRecord, VmRecord } from './records.js';
import { computeUnusedCapacity, isOverCapacity } from './room.js';
import { isAvailableForRuns, isSuspect } from './vm-health.js';

/**
 * Placement costs, in thousandths of the VM's processor capacity. This one applies to VMs outside the rack that
 * holds the data of the task.
 */
const OTHER_RACK_COST = 600;
/** For VMs on which the task failed before. */
const FAILED_VM_COST = 5_000;
/** For placing a task that failed on a VM without a successful run. */
const UNPROVEN_VM_COST = 300;
/** For long-running tasks on suspect VMs. Other tasks go there too, since only they can end the suspicion early. */
const SUSPECT_VM_COST = 5_000;
/** For each unit of pressure; also a fixed cost for other tasks on VMs that are kept for filler tasks. */
const INTERFERENCE_COST = 2_000;
const COST_SCALE = 1_000;
/** Limit on the pressure of filler tasks until the runner reports one. */
const DEFAULT_PRESSURE_ALLOWANCE = 0.3;
/** Share of their requested processor time that serving tasks are expected to use. */
const SERVING_USE_SHARE = 0.6;

/** Free resources of a VM for a task, without the capacity that is reserved for other tasks. */
export function computeFreeCapacity(vm: VmRecord, task: TaskRecord | null): Resources {
  const free = computeUnusedCapacity(vm);
  for (const reserved of vm.reservations.keys()) {
    if (reserved !== task) {
      const { resources } = reserved.step.specification;
      free.processorMillicores -= resources.processorMillicores;
      free.memoryMegabytes -= resources.memoryMegabytes;
      free.accelerators -= resources.accelerators;
    }
  }
  return free;
}

/** Checks everything but capacity and tickets: session, VM state, silence, health, label, and the limit on tasks per VM. */
export function isEligibleVm(vm: VmRecord, step: StepRecord, now: Instant): boolean {
  const { announcement } = vm;
  const { specification } = step;
  if (vm.session === 0 || announcement === null || announcement.state !== VmState.Ready) {
    return false;
  }
  if (vm.isSilent || !isAvailableForRuns(vm, step, now)) {
    return false;
  }
  if (
    specification.requiredLabel !== null &&
    !announcement.labels.includes(specification.requiredLabel)
  ) {
    return false;
  }
  const { tasksPerVmMaximum } = specification;
  return tasksPerVmMaximum === null || countRuns(vm, step) < tasksPerVmMaximum;
}

/** The VMs of the step's service that are eligible. */
export function listEligibleVms(state: CellState, step: StepRecord, now: Instant): VmRecord[] {
  const { service } = state.getPolicy(step.occurrence.job);
  return [...state.vms.values()].filter(
    (vm) => vm.announcement?.service === service && isEligibleVm(vm, step, now),
  );
}

function countRuns(vm: VmRecord, step: StepRecord): number {
  let count = 0;
  for (const { task } of vm.runs.values()) {
    if (task.step === step) {
      count += 1;
    }
  }
  return count;
}

/** True when the VM has enough free capacity for the task, and its serving tasks bear it. */
export function fitsOnVm(state: CellState, vm: VmRecord, task: TaskRecord): boolean {
  return isBearable(state, vm, task) && fitsBesidePressure(vm, task);
}

/** True unless the task fills and the VM's serving tasks would not bear it. */
export function isBearable(state: CellState, vm: VmRecord, task: TaskRecord): boolean {
  const { fills } = task.step.specification;
  return !fills || vm.servingCount === 0 || isWithinPressureAllowance(state, vm, task);
}

/** True when the VM has enough free capacity for the task, whatever its serving tasks bear. */
export function fitsBesidePressure(vm: VmRecord, task: TaskRecord): boolean {
  const { resources, fills } = task.step.specification;
  const free = computeFreeCapacity(vm, task);
  if (
    free.memoryMegabytes < resources.memoryMegabytes ||
    free.accelerators < resources.accelerators
  ) {
    return false;
  }
  return fills
    ? hasRoomForFiller(vm, task, free)
    : free.processorMillicores >= resources.processorMillicores;
}

/**
 * Filler tasks share unused processor time. The first run of an occurrence is placed even if none is left, but no
 * start is allowed on a VM whose capacity has shrunk below its runs.
 */
function hasRoomForFiller(vm: VmRecord, { step }: TaskRecord, free: Resources): boolean {
  const { processorMillicores } = step.specification.resources;
  const hasUnusedTime = estimateUnusedMillicores(vm, free) >= processorMillicores;
  return !isOverCapacity(vm) && (hasUnusedTime || !hasActiveRun(step));
}

/** True when the pressure on the VM's serving tasks stays within the limit after adding the filler task. */
function isWithinPressureAllowance(state: CellState, vm: VmRecord, task: TaskRecord): boolean {
  const allowance = vm.pressureAllowance ?? DEFAULT_PRESSURE_ALLOWANCE;
  return state.estimateTotalPressure(vm) + state.estimatePressure(task.step) <= allowance;
}

/** Expected unused processor time for further filler tasks. */
export function estimateUnusedMillicores(vm: VmRecord, free: Resources): number {
  const idle = (1 - SERVING_USE_SHARE) * vm.servingMillicores;
  return free.processorMillicores + idle - vm.fillMillicores;
}

/** True when any task of the step's occurrence has a run. */
export function hasActiveRun(step: StepRecord): boolean {
  return step.occurrence.runCount > 0;
}

/** Lower is better. Prefers VMs with little free capacity, to keep whole VMs free for large tasks. */
export function computePlacementCost(
  state: CellState,
  vm: VmRecord,
  task: TaskRecord,
  now: Instant,
): number {
  const { specification } = task.step;
  const capacity = vm.announcement?.capacity.processorMillicores ?? 1;
  const freeCapacity = computeFreeCapacity(vm, task);
  const free = freeCapacity.processorMillicores;
  const hasServingTasks = vm.servingCount > 0;
  let cost = (free / capacity) * COST_SCALE;
  if (specification.fills) {
    // Filler tasks go to VMs without serving tasks, where nothing slows them, until most of these is taken. The
    // rest is left to those with high pressure.
    const unused = (estimateUnusedMillicores(vm, freeCapacity) / capacity) * COST_SCALE;
    const pressure = state.estimatePressure(task.step) * INTERFERENCE_COST;
    cost = (hasServingTasks ? pressure : 0) - unused;
  } else if (!hasServingTasks) {
    // Other tasks avoid VMs without serving tasks, which are preferred for filler tasks.
    cost += INTERFERENCE_COST + state.estimateTotalPressure(vm) * INTERFERENCE_COST;
  }
  if (
    specification.preferredRack !== null &&
    specification.preferredRack !== vm.announcement?.rack
  ) {
    cost += OTHER_RACK_COST;
  }
  if (specification.longRunning && isSuspect(vm, now)) {
    cost += SUSPECT_VM_COST;
  }
  if (task.failedVms.has(vm.id)) {
    cost += FAILED_VM_COST;
  }
  if (task.failedRuns.length > 0 && vm.health.succeededAt === null) {
    cost += UNPROVEN_VM_COST;
  }
  return cost;
}
