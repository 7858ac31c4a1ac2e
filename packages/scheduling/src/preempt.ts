/**
 * Frees capacity for long-running tasks by stopping batch runs, those of the same urgency only for tasks that have
 * run before. The stopped tasks restart later, from their last checkpoint if they have one.
 */
import type { Instant } from '@figjunction/time';
import type { Resources } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import { findStartableTasks } from './progress.js';
import { RunPhase } from './records.js';
import type { RunRecord, StepRecord, TaskRecord, VmRecord } from './records.js';
import { computeFreeCapacity } from './placement-rules.js';
import { mayStartGivenRoom } from './start-rules.js';

/** A task waits this long before runs are stopped for it. */
const PREEMPTION_DELAY_MS = 300;
/** Freed capacity stays reserved for the task for this long. */
const RESERVATION_MS = 1_500;

/** Returns the runs that were ordered to stop. Only long-running steps in `unplaced` are considered. */
export function preemptBatchRuns(
  state: CellState,
  unplaced: StepRecord[],
  now: Instant,
): RunRecord[] {
  expireReservations(state, now);
  const stopped: RunRecord[] = [];
  for (const step of unplaced) {
    if (step.specification.longRunning) {
      stopped.push(...preemptForStep(state, step, now));
    }
  }
  return stopped;
}

/** Ends with the first task that finds no VM, since the other tasks of the step would find none either. */
function preemptForStep(state: CellState, step: StepRecord, now: Instant): RunRecord[] {
  const stopped: RunRecord[] = [];
  for (const task of findStartableTasks(step, now)) {
    if (now - task.waitingSince >= PREEMPTION_DELAY_MS && !isReserved(state, task)) {
      const victims = preemptForTask(state, task, now);
      if (victims === null) {
        break;
      }
      stopped.push(...victims);
    }
  }
  return stopped;
}

function expireReservations(state: CellState, now: Instant): void {
  for (const vm of state.vms.values()) {
    for (const [task, until] of vm.reservations) {
      if (until <= now || !task.step.waiting.has(task)) {
        vm.reservations.delete(task);
      }
    }
  }
}

function isReserved(state: CellState, task: TaskRecord): boolean {
  return [...state.vms.values()].some((vm) => vm.reservations.has(task));
}

/** Returns the runs that were ordered to stop; null if no VM can be freed for the task. */
function preemptForTask(state: CellState, task: TaskRecord, now: Instant): RunRecord[] | null {
  const { priority } = state.getPolicy(task.step.occurrence.job);
  const mayStop = (run: RunRecord): boolean =>
    task.hasRun || state.getPolicy(run.task.step.occurrence.job).priority > priority;
  let best: { vm: VmRecord; victims: RunRecord[]; loss: number } | null = null;
  for (const vm of state.vms.values()) {
    if (mayStartGivenRoom(state, vm, task, now)) {
      const victims = chooseVictims(vm, task, mayStop);
      if (victims !== null) {
        const loss = victims.reduce((sum, victim) => sum + estimateLostWork(victim), 0);
        if (best === null || loss < best.loss) {
          best = { vm, victims, loss };
        }
      }
    }
  }
  if (best === null) {
    return null;
  }
  best.vm.reservations.set(task, now + RESERVATION_MS);
  best.victims.forEach((victim) => state.orderStop(victim, now));
  return best.victims;
}

/** The runs to stop, least lost work first; null when stopping all candidates would not free enough. */
function chooseVictims(
  vm: VmRecord,
  task: TaskRecord,
  mayStop: (run: RunRecord) => boolean,
): RunRecord[] | null {
  const required = task.step.specification.resources;
  const free = computeFreeCapacity(vm, task);
  const candidates = listCandidates(vm).filter(mayStop);
  if (!canFreeEnough(free, candidates, required)) {
    return null;
  }
  candidates.sort((left, right) => estimateLostWork(left) - estimateLostWork(right));
  const victims: RunRecord[] = [];
  for (const victim of candidates) {
    if (holds(free, required)) {
      break;
    }
    addResources(free, victim);
    victims.push(victim);
  }
  return victims;
}

function listCandidates({ runs }: VmRecord): RunRecord[] {
  return [...runs.values()].filter(
    ({ phase, task }) => phase === RunPhase.Running && !task.step.specification.longRunning,
  );
}

/** True if stopping all candidates frees enough. */
function canFreeEnough(free: Resources, candidates: RunRecord[], required: Resources): boolean {
  const total = { ...free };
  candidates.forEach((candidate) => addResources(total, candidate));
  return holds(total, required);
}

function holds(free: Resources, required: Resources): boolean {
  return (
    free.processorMillicores >= required.processorMillicores &&
    free.memoryMegabytes >= required.memoryMegabytes &&
    free.accelerators >= required.accelerators
  );
}

/** Adds what a stop of the run frees. Filler tasks hold no processor capacity. */
function addResources(free: Resources, { task }: RunRecord): void {
  const { resources, fills } = task.step.specification;
  free.processorMillicores += fills ? 0 : resources.processorMillicores;
  free.memoryMegabytes += resources.memoryMegabytes;
  free.accelerators += resources.accelerators;
}

/** Work that a stop discards, in millicore-milliseconds. Runs with checkpoints count half of their progress. */
function estimateLostWork({ task, percent }: RunRecord): number {
  const { resources, estimateMs, checkpoints } = task.step.specification;
  const done = (percent / 100) * estimateMs * resources.processorMillicores;
  return checkpoints ? done / 2 : done;
}
