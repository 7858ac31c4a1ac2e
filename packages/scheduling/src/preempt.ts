/**
 * Frees room for long-running tasks by stopping less urgent work, which resumes from its checkpoint.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import { startableTasks } from './progress.js';
import { RunPhase } from './records.js';
import type { RunRecord, StepRecord, TaskRecord, VmRecord } from './records.js';
import { freeRoom, isAllowed } from './room.js';

/** A task waits this long before others are stopped for it. */
const PATIENCE_MS = 300;
/** Room that is being freed is kept this long for the task. */
const RESERVATION_MS = 1_500;

export function preemptFor(state: CellState, unplaced: StepRecord[], now: Instant): RunRecord[] {
  expireReservations(state, now);
  const stopped: RunRecord[] = [];
  for (const step of unplaced) {
    if (step.specification.longRunning) {
      for (const task of startableTasks(step, now)) {
        if (now - task.waitingSince >= PATIENCE_MS && !isReserved(state, task)) {
          stopped.push(...freeRoomFor(state, task, now));
        }
      }
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

function freeRoomFor(state: CellState, task: TaskRecord, now: Instant): RunRecord[] {
  const { service } = state.policyOf(task.step.occurrence.job);
  let best: { vm: VmRecord; victims: RunRecord[]; loss: number } | null = null;
  for (const vm of state.vms.values()) {
    if (vm.announcement?.service === service && isAllowed(vm, task.step, now)) {
      const victims = chooseVictims(vm, task);
      if (victims !== null) {
        const loss = victims.reduce((sum, victim) => sum + lossOf(victim), 0);
        if (best === null || loss < best.loss) {
          best = { vm, victims, loss };
        }
      }
    }
  }
  if (best === null) {
    return [];
  }
  best.vm.reservations.set(task, now + RESERVATION_MS);
  best.victims.forEach((victim) => state.orderStop(victim, now));
  return best.victims;
}

/** The cheapest runs whose end makes room; null when that is not enough. */
function chooseVictims(vm: VmRecord, task: TaskRecord): RunRecord[] | null {
  const need = task.step.specification.resources;
  const free = freeRoom(vm, task);
  const candidates = [...vm.runs.values()]
    .filter((run) => run.phase === RunPhase.Running && !run.task.step.specification.longRunning)
    .sort((left, right) => lossOf(left) - lossOf(right));
  const victims: RunRecord[] = [];
  const isEnough = (): boolean =>
    free.processorMillicores >= need.processorMillicores &&
    free.memoryMegabytes >= need.memoryMegabytes &&
    free.accelerators >= need.accelerators;
  for (const victim of candidates) {
    if (isEnough()) {
      break;
    }
    const { resources, fills } = victim.task.step.specification;
    free.processorMillicores += fills ? 0 : resources.processorMillicores;
    free.memoryMegabytes += resources.memoryMegabytes;
    free.accelerators += resources.accelerators;
    victims.push(victim);
  }
  return isEnough() ? victims : null;
}

/** Core-milliseconds of work that a stop throws away. */
function lossOf({ task, percent }: RunRecord): number {
  const { resources, estimateMs, checkpoints } = task.step.specification;
  const done = (percent / 100) * estimateMs * resources.processorMillicores;
  return checkpoints ? done / 2 : done;
}
