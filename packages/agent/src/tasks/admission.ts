/**
 * Admits or refuses reservations. Runs synchronously, so concurrent reservations from entries with stale
 * views are checked one after the other and cannot overcommit the VM.
 */
import { AgentState, TaskType } from '@figjunction/types';
import type { TaskReservation, TaskReserveParameters, TaskReserveResult } from '@figjunction/types';
import { TaskPhase } from './task-table.js';
import type { NewTaskEntry, TaskEntry } from './task-table.js';
import { findCapacityRefusal } from './task-loads.js';
import { updateCapacityReport } from './capacity-report.js';
import { holdsLease } from './task-runtime.js';
import type { TaskRuntime } from './task-runtime.js';

/** Upper bound on the lifetime of a reservation, whatever the entry requests. */
const RESERVATION_MS_MAXIMUM = 30_000;

/** Decides on each reservation separately; a refusal is null when the reservation is admitted. */
export function reserveTasks(
  runtime: TaskRuntime,
  parameters: TaskReserveParameters,
): TaskReserveResult {
  const agentRefusal = findAgentRefusal(runtime, parameters);
  const refusals = parameters.reservations.map(
    (reservation) => agentRefusal ?? reserveTask(runtime, reservation, parameters.remainingMs),
  );
  runtime.context.metrics.count(
    'reservations_refused_total',
    {},
    refusals.filter((refusal) => refusal !== null).length,
  );
  updateCapacityReport(runtime);
  return { refusals, free: runtime.context.capacityReport.free };
}

/** Removes reservations whose start order did not arrive in time, which frees their capacity. */
export function dropExpiredReservations(runtime: TaskRuntime): void {
  const now = runtime.context.clock.now();
  for (const entry of runtime.tasks.inPhase(TaskPhase.Reserved)) {
    if (now >= entry.reservedUntil) {
      runtime.tasks.remove(entry);
      runtime.context.metrics.count('reservations_expired_total');
    }
  }
}

/** Returns why this agent can accept no reservation of the call, or null if it can. */
function findAgentRefusal(runtime: TaskRuntime, parameters: TaskReserveParameters): string | null {
  const { context } = runtime;
  if (parameters.incarnation !== context.incarnation) {
    return `the current incarnation of the agent is ${context.incarnation}`;
  }
  if (context.state !== AgentState.Serving) {
    return `the agent is ${context.state}`;
  }
  if (!holdsLease(context)) {
    return 'the agent does not hold its lease';
  }
  if (!context.configuration.isConfirmed(context.clock.now())) {
    return 'the configuration of the agent is not confirmed';
  }
  if (parameters.revision !== context.configuration.revision()) {
    return `the agent has configuration revision ${context.configuration.revision()}`;
  }
  return null;
}

function reserveTask(
  runtime: TaskRuntime,
  reservation: TaskReservation,
  remainingMs: number,
): string | null {
  const existing = runtime.tasks.get(reservation.taskId);
  if (existing !== undefined && !canReplace(existing, reservation)) {
    return `attempt ${existing.attempt} of the task is already ${existing.phase} on this VM`;
  }
  const kindLimitRefusal = findKindLimitRefusal(runtime, reservation);
  if (kindLimitRefusal !== null) {
    return kindLimitRefusal;
  }
  const candidate = createReservedEntry(runtime, reservation, remainingMs);
  const refusal = findCapacityRefusal(
    runtime,
    { ...candidate, isSizeKnown: candidate.isSizeKnown ?? false, measured: null },
    existing,
  );
  if (refusal === null) {
    runtime.tasks.add(candidate);
  }
  return refusal;
}

/**
 * The guards limit how many tasks of a throttled kind run on this VM. Further tasks of the kind wait or are
 * placed on another VM.
 */
function findKindLimitRefusal(
  runtime: TaskRuntime,
  { taskId, kind, type }: TaskReservation,
): string | null {
  const limits = type === TaskType.Batch ? runtime.findKindLimits(kind) : null;
  if (limits === null) {
    return null;
  }
  const admitted = runtime.tasks
    .inPhase(TaskPhase.Reserved, TaskPhase.Starting, TaskPhase.Running)
    .filter((entry) => entry.kind === kind && entry.taskId !== taskId).length;
  return admitted < limits.tasksMaximum
    ? null
    : `no more than ${limits.tasksMaximum} tasks of kind ${kind} while the guards throttle it on this VM`;
}

/** A repeated reservation, or one for a later attempt, replaces a reservation that was not started. */
function canReplace(existing: TaskEntry, reservation: TaskReservation): boolean {
  return existing.phase === TaskPhase.Reserved && existing.attempt <= reservation.attempt;
}

function createReservedEntry(
  runtime: TaskRuntime,
  reservation: TaskReservation,
  remainingMs: number,
): NewTaskEntry {
  const { taskId, attempt, type, kind, size, isSizeKnown = false } = reservation;
  const durationMs = Math.min(remainingMs, RESERVATION_MS_MAXIMUM);
  return {
    taskId,
    attempt,
    type,
    kind,
    declared: size,
    isSizeKnown,
    phase: TaskPhase.Reserved,
    reservedUntil: runtime.context.clock.now() + durationMs,
  };
}
