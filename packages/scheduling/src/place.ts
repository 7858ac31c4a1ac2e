/**
 * Gives waiting tasks to VMs, in the order of their rank.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import { planGang } from './gang.js';
import { startableTasks } from './progress.js';
import { rankSteps } from './rank.js';
import { RunPhase } from './records.js';
import type { RunRecord, StepRecord, TaskRecord, VmRecord } from './records.js';
import { fits, isAllowed, placementCost } from './room.js';
import { Shortage } from './shortage.js';

/** Steps that are looked at in one tick; bounds the time of a tick under a flood. */
const STEPS_MAXIMUM = 400;

export interface Placement {
  task: TaskRecord;
  vm: VmRecord;
}

export interface PlacementResult {
  started: RunRecord[];
  /** Steps with startable tasks that found no room. */
  unplaced: StepRecord[];
}

export function placeTasks(state: CellState, now: Instant): PlacementResult {
  const result: PlacementResult = { started: [], unplaced: [] };
  const shortage = new Shortage(state);
  for (const { step } of rankSteps(state, now).slice(0, STEPS_MAXIMUM)) {
    if (!isHeldBack(state, step) && !shortage.covers(step)) {
      placeStep({ state, step, shortage, now, result });
    }
  }
  return result;
}

/** VMs that have not reported to this scheduler yet may run tasks of the jobs that are stored with them. */
function isHeldBack({ unheard }: CellState, { occurrence }: StepRecord): boolean {
  return unheard.size > 0 && [...occurrence.storedVms].some((id) => unheard.has(id));
}

interface StepPlacement {
  state: CellState;
  step: StepRecord;
  shortage: Shortage;
  now: Instant;
  result: PlacementResult;
}

function placeStep({ state, step, shortage, now, result }: StepPlacement): void {
  const tasks = startableTasks(step, now);
  const vms = allowedVms(state, step, now);
  if (step.specification.gang) {
    const plan = tasks.length === step.tasks.length ? planGang(state, step, vms) : null;
    plan?.forEach((placement) => result.started.push(startRun(state, placement, now)));
    if (plan === null && tasks.length > 0) {
      result.unplaced.push(step);
    }
    return;
  }
  for (const task of tasks) {
    const vm = cheapestVm(state, vms, task, now);
    if (vm === null) {
      shortage.note(step);
      result.unplaced.push(step);
      return;
    }
    result.started.push(startRun(state, { task, vm }, now));
  }
}

function allowedVms(state: CellState, step: StepRecord, now: Instant): VmRecord[] {
  const queue = state.policyOf(step.occurrence.job);
  return [...state.vms.values()].filter(
    (vm) =>
      vm.announcement?.service === queue.service &&
      isAllowed(vm, step, now) &&
      (queue.advice === null || hasTicket(step, vm, now)),
  );
}

function hasTicket(step: StepRecord, vm: VmRecord, now: Instant): boolean {
  const ticket = step.tickets.get(vm.announcement?.instanceId ?? '');
  return ticket !== undefined && ticket.value !== '' && ticket.expiresAt > now;
}

function cheapestVm(
  state: CellState,
  vms: VmRecord[],
  task: TaskRecord,
  now: Instant,
): VmRecord | null {
  let best: VmRecord | null = null;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const vm of vms) {
    if (fits(state, vm, task) && isAllowed(vm, task.step, now)) {
      const cost = placementCost(state, vm, task);
      if (cost < bestCost) {
        best = vm;
        bestCost = cost;
      }
    }
  }
  return best;
}

function startRun(state: CellState, { task, vm }: Placement, now: Instant): RunRecord {
  vm.reservations.delete(task);
  const { step } = task;
  // All members of a gang carry the same run number.
  const highest = step.specification.gang
    ? Math.max(...step.tasks.map(({ lastRun }) => lastRun))
    : task.lastRun;
  if (!step.occurrence.storedVms.has(vm.id)) {
    state.markDirty(step.occurrence);
  }
  const isGangMember = step.specification.gang && step.tasks.some(({ runs }) => runs.length > 0);
  return state.addRun({
    task,
    vm,
    run: isGangMember ? highest : highest + 1,
    phase: RunPhase.Ordered,
    now,
    ticket: step.tickets.get(vm.announcement?.instanceId ?? '')?.value ?? null,
  });
}
