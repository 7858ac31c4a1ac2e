/**
 * Whether a VM may take a task, and how well it fits.
 */
import type { Instant } from '@figjunction/time';
import { VmState } from '@figjunction/types';
import type { Resources } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import type { StepRecord, TaskRecord, VmRecord } from './records.js';
import { mayTakeRuns } from './vm-health.js';

/** Costs of a placement, in thousandths of the VM that would stay free. */
const REMOTE_DATA_COST = 600;
const FAILED_THERE_COST = 5_000;
const UNPROVEN_COST = 300;
const DISTURBANCE_COST = 2_000;
const UNDISTURBED_VM_COST = 400;
const THOUSANDTHS = 1_000;
/** Pressure that a VM bears before its runner has reported any. */
const FIRST_ALLOWANCE = 0.3;
/** Share of the processor time that serving tasks ask for and use. */
const SERVING_USE_SHARE = 0.6;

/** What is free on a VM for a task, less what is kept for others. */
export function freeRoom(vm: VmRecord, task: TaskRecord | null): Resources {
  const capacity = vm.announcement?.capacity;
  if (capacity === undefined) {
    return { processorMillicores: 0, memoryMegabytes: 0, accelerators: 0 };
  }
  const free = {
    processorMillicores: capacity.processorMillicores - vm.used.processorMillicores,
    memoryMegabytes: capacity.memoryMegabytes - vm.used.memoryMegabytes,
    accelerators: capacity.accelerators - vm.used.accelerators,
  };
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

/** Everything but room: state, labels, limits for each VM, tickets. */
export function isAllowed(vm: VmRecord, step: StepRecord, now: Instant): boolean {
  const { announcement } = vm;
  const { specification } = step;
  if (vm.session === 0 || announcement === null || announcement.state !== VmState.Ready) {
    return false;
  }
  if (!mayTakeRuns(vm, now)) {
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

function countRuns(vm: VmRecord, step: StepRecord): number {
  let count = 0;
  for (const { task } of vm.runs.values()) {
    if (task.step === step) {
      count += 1;
    }
  }
  return count;
}

export function fits(state: CellState, vm: VmRecord, task: TaskRecord): boolean {
  const { resources, fills } = task.step.specification;
  const free = freeRoom(vm, task);
  if (
    free.memoryMegabytes < resources.memoryMegabytes ||
    free.accelerators < resources.accelerators
  ) {
    return false;
  }
  return fills
    ? fitsAsFill(state, vm, task, free)
    : free.processorMillicores >= resources.processorMillicores;
}

/** Work that fills shares what is left over; a job without any run is not held back by others. */
function fitsAsFill(state: CellState, vm: VmRecord, task: TaskRecord, free: Resources): boolean {
  const { processorMillicores } = task.step.specification.resources;
  if (vm.servingCount > 0 && !isBearable(state, vm, task)) {
    return false;
  }
  return unusedMillicores(vm, free) >= processorMillicores || !isAtWork(task.step);
}

/** Whether the serving tasks of a VM bear the pressure of one more task that fills. */
export function isBearable(state: CellState, vm: VmRecord, task: TaskRecord): boolean {
  const allowance = vm.pressureAllowance ?? FIRST_ALLOWANCE;
  return state.pressureOn(vm) + state.pressureOf(task.step) <= allowance;
}

/** Processor time that is expected to be left over for more work that fills. */
export function unusedMillicores(vm: VmRecord, free: Resources): number {
  const idle = (1 - SERVING_USE_SHARE) * vm.servingMillicores;
  return free.processorMillicores + idle - vm.fillMillicores;
}

/** True when the job of the step has a run. */
export function isAtWork(step: StepRecord): boolean {
  return step.occurrence.steps.some(({ tasks }) => tasks.some(({ runs }) => runs.length > 0));
}

/** Lower is better. Packs tightly, so that large tasks keep finding room. */
export function placementCost(state: CellState, vm: VmRecord, task: TaskRecord): number {
  const { specification } = task.step;
  const capacity = vm.announcement?.capacity.processorMillicores ?? 1;
  const room = freeRoom(vm, task);
  const free = room.processorMillicores;
  const serves = vm.servingCount > 0;
  let cost = (free / capacity) * THOUSANDTHS;
  if (specification.fills) {
    // Work that disturbs goes to VMs without serving tasks, which are left to it by all other work.
    const unused = (unusedMillicores(vm, room) / capacity) * THOUSANDTHS;
    const pressure = state.pressureOf(task.step) * DISTURBANCE_COST;
    cost = (serves ? pressure : UNDISTURBED_VM_COST) - unused;
  } else if (!serves) {
    // VMs without tasks that serve are kept for work that fills.
    cost += DISTURBANCE_COST + state.pressureOn(vm) * DISTURBANCE_COST;
  }
  if (
    specification.preferredRack !== null &&
    specification.preferredRack !== vm.announcement?.rack
  ) {
    cost += REMOTE_DATA_COST;
  }
  if (task.failedOn.has(vm.id)) {
    cost += FAILED_THERE_COST;
  }
  if (task.failedRuns.length > 0 && vm.health.succeededAt === null) {
    cost += UNPROVEN_COST;
  }
  return cost;
}
