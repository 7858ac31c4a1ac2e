/**
 * Moves filling work that is slowed down to VMs where it can run at full speed. A job is done only when its
 * last task is, so one slow task holds back all the others.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import { RunPhase } from './records.js';
import type { RunRecord, VmRecord } from './records.js';
import { freeRoom, isAllowed, isBearable, unusedMillicores } from './room.js';

/** A run is slow when it gets less than this share of what it asks for. */
const SLOW_SHARE = 0.5;
/** Readings cover the last half second; younger runs have none. */
const MINIMUM_AGE_MS = 1_500;
/** A task that is slowed wherever it goes gains nothing by moving on. */
const PAUSE_MS = 5_000;
/** Without a checkpoint, only runs that have done little are moved. */
const LITTLE_PROGRESS_PERCENT = 15;
/** Runs near their end are left alone: a move takes longer than the rest. */
const NEARLY_DONE_PERCENT = 90;

export function relocateSlowRuns(state: CellState, now: Instant): RunRecord[] {
  const room = new Map<VmRecord, number>();
  for (const vm of state.vms.values()) {
    room.set(vm, unusedMillicores(vm, freeRoom(vm, null)));
  }
  const moved: RunRecord[] = [];
  for (const run of slowRuns(state, now)) {
    const target = findTarget(state, run, room, now);
    if (target !== null) {
      const need = run.task.step.specification.resources.processorMillicores;
      room.set(target, (room.get(target) ?? 0) - need);
      run.task.movedAt = now;
      state.orderStop(run, now);
      moved.push(run);
    }
  }
  return moved;
}

function slowRuns(state: CellState, now: Instant): RunRecord[] {
  return [...state.vms.values()]
    .flatMap((vm) => [...vm.runs.values()])
    .filter((run) => isSlow(run, now))
    .sort((left, right) => right.percent - left.percent);
}

function isSlow(
  { phase, task, vm, reading, percent, runningSince }: RunRecord,
  now: Instant,
): boolean {
  const { fills, checkpoints, resources, gang } = task.step.specification;
  return (
    fills &&
    !gang &&
    vm.servingCount > 0 &&
    phase === RunPhase.Running &&
    now - runningSince > MINIMUM_AGE_MS &&
    now - task.movedAt > PAUSE_MS &&
    reading < SLOW_SHARE * resources.processorMillicores &&
    percent < NEARLY_DONE_PERCENT &&
    (checkpoints || percent < LITTLE_PROGRESS_PERCENT)
  );
}

function findTarget(
  state: CellState,
  { task, vm: current }: RunRecord,
  room: Map<VmRecord, number>,
  now: Instant,
): VmRecord | null {
  const { service } = state.policyOf(task.step.occurrence.job);
  const { resources } = task.step.specification;
  for (const [vm, unused] of room) {
    const fits =
      (vm.servingCount === 0 || isBearable(state, vm, task)) &&
      vm !== current &&
      unused >= resources.processorMillicores &&
      freeRoom(vm, null).memoryMegabytes >= resources.memoryMegabytes;
    if (fits && vm.announcement?.service === service && isAllowed(vm, task.step, now)) {
      return vm;
    }
  }
  return null;
}
