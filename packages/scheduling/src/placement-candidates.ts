/**
 * The VMs on which the tasks of one step can be placed, with the cost of each. Tasks of a step without failures and
 * reservations differ in nothing, so the costs are computed once for all of them, and again only for a VM that got a run.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import { computePlacementCost, fitsOnVm, isEligibleVm } from './placement-rules.js';
import { mayTryBesideServing } from './pressure-trials.js';
import type { TaskRecord, VmRecord } from './records.js';
import { isKeptFromTask } from './trials.js';

const UNUSABLE = Number.POSITIVE_INFINITY;

export class PlacementCandidates {
  /** Cost of each VM for a task without failures, in the order of `vms`; null until it is needed. */
  private costs: number[] | null = null;

  private readonly tasksWithReservation: ReadonlySet<TaskRecord>;

  constructor(
    private readonly state: CellState,
    readonly vms: VmRecord[],
    private readonly now: Instant,
  ) {
    this.tasksWithReservation = new Set(vms.flatMap((vm) => [...vm.reservations.keys()]));
  }

  /** Returns the VM with the lowest cost; null if the task fits on none. */
  findCheapest(task: TaskRecord): VmRecord | null {
    if (hasHistory(task) || this.hasReservation(task)) {
      return this.findLowest(this.vms.map((vm) => this.computeCost(vm, task)));
    }
    this.costs ??= this.vms.map((vm) => this.computeCost(vm, task));
    return this.findLowest(this.costs);
  }

  /** True if capacity of any of the VMs was reserved for the task when the placement began. */
  hasReservation(task: TaskRecord): boolean {
    return this.tasksWithReservation.has(task);
  }

  /** The VMs that are kept for no task. */
  listUnkept(): VmRecord[] {
    return this.vms.filter((vm) => !isKeptFromTask(vm, null, this.now));
  }

  /** Computes the cost of a VM again, on which the task has been placed. */
  update(vm: VmRecord, task: TaskRecord): void {
    if (hasOnlyRun(task)) {
      // Only the first run of an occurrence may start where no processor time is unused.
      this.invalidate();
    } else if (this.costs !== null) {
      this.costs[this.vms.indexOf(vm)] = this.computeCost(vm, task);
    }
  }

  /** Discards the costs, after a change of more than one VM. */
  invalidate(): void {
    this.costs = null;
  }

  /** True if the task may start on the VM and fits there. */
  isUsable(vm: VmRecord, task: TaskRecord): boolean {
    const { state, now } = this;
    const isAvailable = isEligibleVm(vm, task.step, now) && !isKeptFromTask(vm, task, now);
    const isFitting = fitsOnVm(state, vm, task) || mayTryBesideServing(state, vm, task, now);
    return isAvailable && isFitting;
  }

  private computeCost(vm: VmRecord, task: TaskRecord): number {
    return this.isUsable(vm, task)
      ? computePlacementCost(this.state, vm, task, this.now)
      : UNUSABLE;
  }

  private findLowest(costs: number[]): VmRecord | null {
    let best: VmRecord | null = null;
    let lowest = UNUSABLE;
    this.vms.forEach((vm, index) => {
      const cost = costs[index] ?? UNUSABLE;
      if (cost < lowest) {
        lowest = cost;
        best = vm;
      }
    });
    return best;
  }
}

function hasOnlyRun({ step }: TaskRecord): boolean {
  return step.occurrence.runCount === 1;
}

/** True if the task has failed or crashed, so that its costs may differ from those of the rest of its step. */
function hasHistory({ failedRuns, failedVms, crashes }: TaskRecord): boolean {
  return failedRuns.length + failedVms.size + crashes.length > 0;
}
