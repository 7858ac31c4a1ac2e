/**
 * Assigns the waiting tasks of one step to VMs.
 */
import type { Instant } from '@figjunction/time';
import { findTicket, isPermitted } from './advice.js';
import type { CellState } from './cell-state.js';
import { planGang } from './gang.js';
import { findStartableTasks } from './progress.js';
import { RunPhase } from './records.js';
import type { RunRecord, StepRecord, TaskRecord, VmRecord } from './records.js';
import { PlacementCandidates } from './placement-candidates.js';
import { listEligibleVms } from './placement-rules.js';
import {
  endReservation,
  findKeptVm,
  findVmWithFewestRuns,
  isReadyForTrial,
  keepForTrial,
  mayKeepVm,
  mayStartWithoutTrial,
  needsTrial,
} from './trials.js';
import type { UnmetDemands } from './unmet-demands.js';

export interface Placement {
  task: TaskRecord;
  vm: VmRecord;
  isOnTrial?: boolean;
}

export interface PlacementResult {
  started: RunRecord[];
  /** Steps with startable tasks that fit on no VM. */
  unplaced: StepRecord[];
  /** Steps of queues with advice that have waiting tasks left. */
  lackingAdvice: StepRecord[];
}

export interface StepPlacement {
  state: CellState;
  step: StepRecord;
  unmetDemands: UnmetDemands;
  now: Instant;
  result: PlacementResult;
}

export function placeStep(placement: StepPlacement): void {
  const { state, step, now } = placement;
  const vms = listEligibleVms(state, step, now).filter((vm) => isPermitted(state, step, vm, now));
  const candidates = new PlacementCandidates(state, vms, now);
  if (step.specification.gang) {
    placeGang(placement, candidates);
  } else {
    placeTasksOfStep(placement, candidates);
  }
}

function placeGang(
  { state, step, now, result }: StepPlacement,
  candidates: PlacementCandidates,
): void {
  const tasks = findStartableTasks(step, now);
  const isComplete = tasks.length === step.tasks.length;
  const plan = isComplete ? planGang(state, step, candidates.listUnkept(), now) : null;
  plan?.forEach((placement) => result.started.push(startRun(state, placement, now)));
  if (plan === null && tasks.length > 0) {
    result.unplaced.push(step);
  }
}

function placeTasksOfStep(placement: StepPlacement, candidates: PlacementCandidates): void {
  const { state, step, unmetDemands, now, result } = placement;
  let unclaimedMillicores = state.batchClaims.computeLimit(state, step);
  const { processorMillicores } = step.specification.resources;
  let isFull = false;
  for (const task of findStartableTasks(step, now)) {
    if (needsTrial(task)) {
      placeSuspect({ state, candidates, task, now, result });
    } else if (!isFull || candidates.hasReservation(task)) {
      const vm = candidates.findCheapest(task);
      if (vm === null) {
        // Its other tasks find none either, but for those with room of their own.
        isFull = true;
        unmetDemands.record(step);
        addUnplaced(result, step);
      } else if (processorMillicores > unclaimedMillicores && !mayTakeClaimedRoom(task, vm)) {
        isFull = true;
      } else {
        unclaimedMillicores -= processorMillicores;
        result.started.push(startRun(state, { task, vm }, now));
        candidates.update(vm, task);
      }
    }
  }
}

/** A restart takes back the room that the task has left. */
function mayTakeClaimedRoom(task: TaskRecord, vm: VmRecord): boolean {
  return task.hasRun || vm.reservations.has(task);
}

interface SuspectPlacement {
  state: CellState;
  candidates: PlacementCandidates;
  task: TaskRecord;
  now: Instant;
  result: PlacementResult;
}

/** Starts the task alone on a VM that is kept for it, or beside others if it has waited too long for one. */
function placeSuspect({ state, candidates, task, now, result }: SuspectPlacement): void {
  const { vms } = candidates;
  const usableVms = vms.filter((vm) => candidates.isUsable(vm, task));
  const keptVm = findKeptVm(usableVms, task, now);
  const vm = keptVm ?? findVmWithFewestRuns(usableVms);
  if (vm === null) {
    addUnplaced(result, task.step);
    return;
  }
  const { service } = state.getPolicy(task.step.occurrence.job);
  if (keptVm === null && mayKeepVm(state, service, now)) {
    keepForTrial(vm, task, now);
  }
  const isOnTrial = isReadyForTrial(vm, task, now);
  if (isOnTrial || mayStartWithoutTrial(task, now)) {
    endReservation(vms, task);
    result.started.push(startRun(state, { task, vm, isOnTrial }, now));
  }
  candidates.invalidate();
}

function addUnplaced({ unplaced }: PlacementResult, step: StepRecord): void {
  if (!unplaced.includes(step)) {
    unplaced.push(step);
  }
}

function startRun(state: CellState, placement: Placement, now: Instant): RunRecord {
  const { task, vm, isOnTrial = false } = placement;
  vm.reservations.delete(task);
  const { step } = task;
  // All members of a gang have the same run number.
  const latestRunNumber = step.specification.gang
    ? Math.max(...step.tasks.map(({ highestRunNumber }) => highestRunNumber))
    : task.highestRunNumber;
  if (!step.occurrence.storedVms.has(vm.id)) {
    state.markDirty(step.occurrence);
  }
  const isGangMember = step.specification.gang && step.tasks.some(({ runs }) => runs.length > 0);
  return state.addRun({
    task,
    vm,
    run: isGangMember ? latestRunNumber : latestRunNumber + 1,
    phase: RunPhase.Ordered,
    now,
    ticket: findTicket(step, vm),
    isOnTrial,
  });
}
