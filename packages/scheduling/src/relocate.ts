/**
 * Relocates slow filler tasks to VMs where they can run at full speed. A job is done only when its last task
 * is done, so one slow task delays the whole job.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import { RunPhase } from './records.js';
import type { RunRecord, VmRecord } from './records.js';
import { computeFreeCapacity, estimateUnusedMillicores } from './placement-rules.js';
import { isOverCapacity } from './room.js';
import { mayStartGivenRoom } from './start-rules.js';

/** A run is slow when it uses less than this share of the processor time that it requests. */
const SLOW_SHARE = 0.5;
/** A measurement covers the last half second, so younger runs have no reliable one. */
const RUN_AGE_MINIMUM_MS = 1_500;
/** Limits relocations of a task that is slow on every VM. */
const RELOCATION_INTERVAL_MINIMUM_MS = 5_000;
/** Without checkpoints, only runs below this progress are relocated, because they start over. */
const EARLY_PROGRESS_PERCENT = 15;
/** From this progress on, a relocation takes longer than the rest of the run. */
const NEARLY_DONE_PERCENT = 90;

/** Returns the runs that were ordered to stop; their tasks are placed again once the runs have ended. */
export function relocateSlowRuns(state: CellState, now: Instant): RunRecord[] {
  const slowRuns = findSlowRuns(state, now);
  const destinations = slowRuns.length === 0 ? [] : listDestinations(state);
  const moved: RunRecord[] = [];
  for (const run of slowRuns) {
    const destination = findDestination(state, run, destinations, now);
    if (destination !== null) {
      destination.unusedMillicores -= run.task.step.specification.resources.processorMillicores;
      run.task.relocatedAt = now;
      state.orderStop(run, now);
      moved.push(run);
    }
  }
  return moved;
}

/** A VM with unused processor time. */
interface Destination {
  vm: VmRecord;
  unusedMillicores: number;
  freeMegabytes: number;
}

function listDestinations({ vms }: CellState): Destination[] {
  return [...vms.values()]
    .filter((vm) => !isOverCapacity(vm))
    .map((vm) => {
      const free = computeFreeCapacity(vm, null);
      const unusedMillicores = estimateUnusedMillicores(vm, free);
      return { vm, unusedMillicores, freeMegabytes: free.memoryMegabytes };
    })
    .filter(({ unusedMillicores }) => unusedMillicores > 0);
}

function findSlowRuns(state: CellState, now: Instant): RunRecord[] {
  return [...state.vms.values()]
    .flatMap((vm) => [...vm.runs.values()])
    .filter((run) => isSlow(run, now))
    .sort((left, right) => right.percent - left.percent);
}

function isSlow(
  { phase, task, vm, measurement, percent, runningSince }: RunRecord,
  now: Instant,
): boolean {
  const { fills, checkpoints, resources, gang } = task.step.specification;
  return (
    fills &&
    !gang &&
    vm.servingCount > 0 &&
    phase === RunPhase.Running &&
    now - runningSince > RUN_AGE_MINIMUM_MS &&
    now - task.relocatedAt > RELOCATION_INTERVAL_MINIMUM_MS &&
    measurement < SLOW_SHARE * resources.processorMillicores &&
    percent < NEARLY_DONE_PERCENT &&
    (checkpoints || percent < EARLY_PROGRESS_PERCENT)
  );
}

function findDestination(
  state: CellState,
  { task, vm: current }: RunRecord,
  destinations: Destination[],
  now: Instant,
): Destination | null {
  const { resources } = task.step.specification;
  const fits = ({ vm, unusedMillicores, freeMegabytes }: Destination): boolean =>
    unusedMillicores >= resources.processorMillicores &&
    freeMegabytes >= resources.memoryMegabytes &&
    vm !== current &&
    mayStartGivenRoom(state, vm, task, now);
  return destinations.find(fits) ?? null;
}
