/**
 * Lets a filler job without runs start beside serving tasks although its image is estimated to slow them too much. The
 * estimate may rest on a coincidence, and is corrected only by runs beside serving tasks. The runner slows the run, or
 * suspends it, while a serving task would miss its target.
 */
import type { Instant } from '@figjunction/time';
import type { ServiceName } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import { fitsBesidePressure, hasActiveRun } from './placement-rules.js';
import type { TaskRecord, VmRecord } from './records.js';

/** A job waits so long for a VM that is estimated to bear its tasks. */
const WAIT_MS = 2_000;
/** While more of a service's capacity than this is in use, jobs may wait. */
const USED_SHARE_MAXIMUM = 0.5;

/** True if a first run of the task's job may start on the VM, alone among its serving tasks. */
export function mayTryBesideServing(
  state: CellState,
  vm: VmRecord,
  task: TaskRecord,
  now: Instant,
): boolean {
  const { step, waitingSince } = task;
  const isWaiting =
    step.specification.fills && !hasActiveRun(step) && now - waitingSince >= WAIT_MS;
  return (
    isWaiting &&
    vm.fillMillicores === 0 &&
    fitsBesidePressure(vm, task) &&
    isMostlyFree(state, state.getPolicy(step.occurrence.job).service)
  );
}

function isMostlyFree({ vms }: CellState, service: ServiceName): boolean {
  let used = 0;
  let capacity = 0;
  for (const vm of vms.values()) {
    if (vm.session !== 0 && vm.announcement?.service === service) {
      used += vm.used.processorMillicores + vm.fillMillicores;
      capacity += vm.announcement.capacity.processorMillicores;
    }
  }
  return used < USED_SHARE_MAXIMUM * capacity;
}
