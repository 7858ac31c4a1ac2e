/**
 * The adviser's answers about the VMs that may run a step, and the step's further need of them. An answer is for one
 * incarnation of a VM.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import { planGang } from './gang.js';
import { PlacementCandidates } from './placement-candidates.js';
import { computePlacementCost, listEligibleVms } from './placement-rules.js';
import { findStartableTasks } from './progress.js';
import { buildInstanceKey } from './records.js';
import type { AdviceAnswer, StepRecord, TaskRecord, VmRecord } from './records.js';
import { needsTrial } from './trials.js';

/** VMs whose tickets a step lacks. */
export interface AdviceDemand {
  /** Those that the adviser should be asked about. */
  vms: VmRecord[];
  /** True if tickets for these would let a task of the step start now. */
  hasRoom: boolean;
}

/** What the adviser has answered about a step. */
export interface GrantedTickets {
  step: StepRecord;
  /** The incarnations that it was asked about. */
  instanceKeys: string[];
  /** Tickets by incarnation; for the others it has refused. */
  tickets: ReadonlyMap<string, string>;
  ticketsExpireAt: Instant;
  refusalsExpireAt: Instant;
}

export function recordAdvice(granted: GrantedTickets): void {
  const { step, instanceKeys, tickets, ticketsExpireAt, refusalsExpireAt } = granted;
  for (const key of instanceKeys) {
    const ticket = tickets.get(key) ?? null;
    const expiresAt = ticket === null ? refusalsExpireAt : ticketsExpireAt;
    step.advice.answers.set(key, { ticket, expiresAt });
  }
}

/** Forgets the answer about the VM, so that the adviser is asked anew. */
export function forgetAdvice(step: StepRecord, vm: VmRecord): void {
  if (vm.announcement !== null) {
    step.advice.answers.delete(buildInstanceKey(vm.announcement));
  }
}

/** Returns the ticket for the VM, also one that has expired; null if there is none. */
export function findTicket(step: StepRecord, vm: VmRecord): string | null {
  return findAnswer(step, vm)?.ticket ?? null;
}

/** True if the step starts only with tickets. */
export function needsAdvice(state: CellState, { occurrence }: StepRecord): boolean {
  return state.getPolicy(occurrence.job).advice !== null;
}

/** True if tasks of the step may start on the VM; always, unless the step's queue has advice. */
export function isPermitted(
  state: CellState,
  step: StepRecord,
  vm: VmRecord,
  now: Instant,
): boolean {
  const answer = findAnswer(step, vm);
  const hasTicket = (answer?.ticket ?? null) !== null && isValid(answer, now);
  return hasTicket || !needsAdvice(state, step);
}

/** Returns null if the adviser need not be asked about the step. */
export function findAdviceDemand(
  state: CellState,
  step: StepRecord,
  now: Instant,
): AdviceDemand | null {
  const eligibleVms = listEligibleVms(state, step, now);
  const unknownVms = eligibleVms.filter((vm) => !isValid(findAnswer(step, vm), now));
  const tasks = findStartableTasks(step, now);
  if (tasks.length === 0 || unknownVms.length === 0) {
    return null;
  }
  const startVms = step.specification.gang
    ? findGangVms(state, step, eligibleVms, now)
    : findUsableVms(state, tasks, unknownVms, now);
  const wantedVms = mayTakeRoom(state, step, tasks)
    ? startVms.filter((vm) => unknownVms.includes(vm))
    : [];
  const hasRoom = wantedVms.length > 0;
  return { vms: hasRoom ? wantedVms : unknownVms, hasRoom };
}

/** True unless batch jobs claim the room. A restart takes back the room that its task has left. */
function mayTakeRoom(state: CellState, step: StepRecord, tasks: TaskRecord[]): boolean {
  const { processorMillicores } = step.specification.resources;
  return (
    tasks.some(({ hasRun }) => hasRun) ||
    processorMillicores <= state.batchClaims.computeLimit(state, step)
  );
}

function findAnswer(step: StepRecord, { announcement }: VmRecord): AdviceAnswer | undefined {
  return announcement === null
    ? undefined
    : step.advice.answers.get(buildInstanceKey(announcement));
}

function isValid(answer: AdviceAnswer | undefined, now: Instant): boolean {
  return answer !== undefined && now < answer.expiresAt;
}

/** The VMs on which the gang would start now if the adviser permitted all of which it has not refused any. */
function findGangVms(
  state: CellState,
  step: StepRecord,
  eligibleVms: VmRecord[],
  now: Instant,
): VmRecord[] {
  const isRefused = (vm: VmRecord): boolean => {
    const answer = findAnswer(step, vm);
    return answer?.ticket === null && isValid(answer, now);
  };
  const vms = new PlacementCandidates(state, eligibleVms, now).listUnkept();
  const isComplete = findStartableTasks(step, now).length === step.tasks.length;
  const permitted = vms.filter((vm) => !isRefused(vm));
  const plan = isComplete ? planGang(state, step, permitted, now) : null;
  return [...new Set((plan ?? []).map(({ vm }) => vm))];
}

/** The VMs on which any of the tasks would start now. Tasks differ only in whether they need a trial. */
function findUsableVms(
  state: CellState,
  tasks: TaskRecord[],
  vms: VmRecord[],
  now: Instant,
): VmRecord[] {
  const candidates = new PlacementCandidates(state, vms, now);
  const kinds = [tasks.find(needsTrial), tasks.find((task) => !needsTrial(task))];
  return vms.filter((vm) =>
    kinds.some((task) => task !== undefined && candidates.isUsable(vm, task)),
  );
}

/** The cheapest VMs for the step come first, and those that the adviser has refused last, by the age of the refusal. */
export function sortVmsToAsk(
  state: CellState,
  step: StepRecord,
  vms: VmRecord[],
  now: Instant,
): VmRecord[] {
  const [task] = findStartableTasks(step, now);
  if (task === undefined) {
    return vms;
  }
  const candidates = vms.map((vm) => {
    const answer = findAnswer(step, vm);
    const refusedUntil = answer?.ticket === null ? answer.expiresAt : 0;
    return { vm, refusedUntil, cost: computePlacementCost(state, vm, task, now) };
  });
  candidates.sort(
    (left, right) => left.refusedUntil - right.refusedUntil || left.cost - right.cost,
  );
  return candidates.map(({ vm }) => vm);
}
