/**
 * Places all members of a gang at once.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import type { Placement } from './place-step.js';
import type { StepRecord, VmRecord } from './records.js';
import { computeFreeCapacity, computePlacementCost } from './placement-rules.js';

/**
 * Returns null when the free capacity does not hold all members. A step with `sameRack` runs slower across
 * racks, so each single rack is tried before all VMs together.
 */
export function planGang(
  state: CellState,
  step: StepRecord,
  vms: VmRecord[],
  now: Instant,
): Placement[] | null {
  if (step.specification.sameRack) {
    const racks = new Set(vms.map((vm) => vm.announcement?.rack ?? null));
    for (const rack of racks) {
      const plan = planOnVms(
        state,
        step,
        vms.filter((vm) => (vm.announcement?.rack ?? null) === rack),
        now,
      );
      if (plan !== null) {
        return plan;
      }
    }
  }
  return planOnVms(state, step, vms, now);
}

function planOnVms(
  state: CellState,
  step: StepRecord,
  vms: VmRecord[],
  now: Instant,
): Placement[] | null {
  const [first] = step.tasks;
  if (first === undefined) {
    return null;
  }
  const slots = [...vms]
    .sort(
      (left, right) =>
        computePlacementCost(state, left, first, now) -
        computePlacementCost(state, right, first, now),
    )
    .flatMap((vm) => Array.from({ length: countFittingMembers(step, vm) }, () => vm));
  if (slots.length < step.tasks.length) {
    return null;
  }
  return step.tasks.map((task, index) => ({ task, vm: slots[index] as VmRecord }));
}

function countFittingMembers(step: StepRecord, vm: VmRecord): number {
  const { resources, tasksPerVmMaximum } = step.specification;
  const free = computeFreeCapacity(vm, null);
  const counts = [
    countThatFit(free.processorMillicores, resources.processorMillicores),
    countThatFit(free.memoryMegabytes, resources.memoryMegabytes),
    countThatFit(free.accelerators, resources.accelerators),
    tasksPerVmMaximum ?? step.tasks.length,
    step.tasks.length,
  ];
  return Math.max(0, Math.min(...counts));
}

function countThatFit(free: number, need: number): number {
  if (free < 0) {
    return 0;
  }
  return need === 0 ? Number.POSITIVE_INFINITY : Math.floor(free / need);
}
