/**
 * Finds room for all members of a gang at once.
 */
import type { CellState } from './cell-state.js';
import type { Placement } from './place.js';
import type { StepRecord, VmRecord } from './records.js';
import { freeRoom, placementCost } from './room.js';

/** Null when not all members fit. Prefers one rack when the members run slower across racks. */
export function planGang(state: CellState, step: StepRecord, vms: VmRecord[]): Placement[] | null {
  if (step.specification.sameRack) {
    const racks = new Set(vms.map((vm) => vm.announcement?.rack ?? null));
    for (const rack of racks) {
      const plan = planOn(
        state,
        step,
        vms.filter((vm) => (vm.announcement?.rack ?? null) === rack),
      );
      if (plan !== null) {
        return plan;
      }
    }
  }
  return planOn(state, step, vms);
}

function planOn(state: CellState, step: StepRecord, vms: VmRecord[]): Placement[] | null {
  const [first] = step.tasks;
  if (first === undefined) {
    return null;
  }
  const slots = [...vms]
    .sort((left, right) => placementCost(state, left, first) - placementCost(state, right, first))
    .flatMap((vm) => Array.from({ length: membersThatFit(step, vm) }, () => vm));
  if (slots.length < step.tasks.length) {
    return null;
  }
  return step.tasks.map((task, index) => ({ task, vm: slots[index] as VmRecord }));
}

function membersThatFit(step: StepRecord, vm: VmRecord): number {
  const { resources, tasksPerVmMaximum } = step.specification;
  const free = freeRoom(vm, null);
  const counts = [
    quotient(free.processorMillicores, resources.processorMillicores),
    quotient(free.memoryMegabytes, resources.memoryMegabytes),
    quotient(free.accelerators, resources.accelerators),
    tasksPerVmMaximum ?? step.tasks.length,
    step.tasks.length,
  ];
  return Math.max(0, Math.min(...counts));
}

function quotient(free: number, need: number): number {
  return need === 0 ? Number.POSITIVE_INFINITY : Math.floor(free / need);
}
