/**
 * Gives up the runs of VMs that have left or restarted, or whose lease has expired. Nothing runs on a VM any more once
 * its lease has expired, but its runs may have ended as done before: their tasks wait some time for its list.
 */
import type { Instant } from '@figjunction/time';
import type { RunnerListResult } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import { applyEnds } from './ends.js';
import type { EndsOutcome } from './ends.js';
import { RunPhase, buildInstanceKey, buildRunKey } from './records.js';
import type { RunRecord, VmRecord } from './records.js';
import { settleEnds } from './settlement.js';

/** How long the tasks of a VM whose lease has expired wait for its list, before they start elsewhere without it. */
const LIST_WAIT_MS = 1_200;

export interface ExpiredLeases {
  /** VMs whose sessions were closed. */
  closed: VmRecord[];
  /** VMs whose lists are awaited from now on. */
  awaited: VmRecord[];
}

/** Removes all runs, orphans and reservations of a VM; unfinished tasks wait again. */
export function removeAllRuns(state: CellState, vm: VmRecord, now: Instant): void {
  for (const record of [...vm.runs.values()]) {
    state.removeRun(record, now);
  }
  vm.listAwaitedUntil = null;
  vm.orphans.clear();
  vm.reservations.clear();
  vm.unlistedRuns.clear();
  // It has reported to this scheduler, or its lease has expired: none of the runs that it may have held is left.
  state.unreportedVms.delete(vm.id);
}

/**
 * Closes the sessions of VMs whose `leaseExpiresAt` has passed, and removes their runs: at once those that no list can
 * show as done, the others when the VM has not listed them in time. VMs that never reported to this scheduler are
 * dropped from `unreportedVms` by the same bounds.
 */
export function expireVmLeases(state: CellState, now: Instant): ExpiredLeases {
  const closed: VmRecord[] = [];
  const awaited: VmRecord[] = [];
  for (const vm of state.vms.values()) {
    if (vm.session !== 0 && vm.leaseExpiresAt <= now) {
      closeSession(state, vm, now);
      closed.push(vm);
    }
    if (vm.listAwaitedUntil !== null && vm.listAwaitedUntil <= now) {
      vm.lapsedRuns.push(...vm.runs.values());
      removeAllRuns(state, vm, now);
    }
  }
  for (const [id, leaseExpiresAt] of state.unreportedVms) {
    const vm = state.vms.get(id);
    if (leaseExpiresAt <= now && vm === undefined) {
      state.unreportedVms.delete(id);
    } else if (leaseExpiresAt <= now && vm?.listAwaitedUntil === null) {
      vm.listAwaitedUntil = now + LIST_WAIT_MS;
      awaited.push(vm);
    }
  }
  awaited.push(...closed.filter(({ listAwaitedUntil }) => listAwaitedUntil !== null));
  return { closed, awaited };
}

/** A VM that does not even answer its runner has no list to wait for. */
function closeSession(state: CellState, vm: VmRecord, now: Instant): void {
  vm.session = 0;
  vm.listAwaitedUntil = vm.isSilent ? now : now + LIST_WAIT_MS;
  vm.lapsedRuns = [...vm.runs.values()].filter(hasNoResult);
  vm.lapsedRuns.forEach((run) => state.removeRun(run, now));
  vm.orphans.clear();
  vm.reservations.clear();
}

function hasNoResult({ isSent, phase, task }: RunRecord): boolean {
  const hasNotBegun = phase === RunPhase.Ordered && !isSent;
  return hasNotBegun || task.step.specification.longRunning;
}

/**
 * Applies the list of a VM that has no session and whose lease has expired: its ends, and that the runs in neither list
 * are gone. Runs that go on all the same are waited for again. The list of another incarnation is left to its session.
 */
export function applyAwaitedList(
  state: CellState,
  vm: VmRecord,
  list: RunnerListResult,
  now: Instant,
): EndsOutcome {
  const { announcement } = vm;
  const isOther =
    list.vm === null ||
    (announcement !== null && buildInstanceKey(announcement) !== buildInstanceKey(list.vm));
  if (vm.listAwaitedUntil === null || vm.session !== 0 || isOther) {
    return { applied: [], unknown: [] };
  }
  vm.announcement = list.vm;
  const outcome = applyEnds(state, vm, { ended: list.ended, vanished: [] }, now);
  settleEnds(vm);
  if (!list.hasUnlistedEnds) {
    removeUnlistedRuns(state, vm, list, now);
  }
  return outcome;
}

function removeUnlistedRuns(
  state: CellState,
  vm: VmRecord,
  { running }: RunnerListResult,
  now: Instant,
): void {
  if (running.length === 0) {
    vm.lapsedRuns.push(...vm.runs.values());
    removeAllRuns(state, vm, now);
    return;
  }
  const listed = new Set(running.map(({ taskId, run }) => buildRunKey(taskId, run)));
  const gone = [...vm.runs].filter(([key]) => !listed.has(key));
  gone.forEach(([, record]) => state.removeRun(record, now));
  vm.listAwaitedUntil = now + LIST_WAIT_MS;
}
