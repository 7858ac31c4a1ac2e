/**
 * Admits or refuses reservations. This runs to the end without waiting for anything, so that entries
 * with stale views that place at once are answered one after the other.
 */
import { AgentState, TaskType } from '@figjunction/types';
import type { TaskReservation, TaskReserveParameters, TaskReserveResult } from '@figjunction/types';
import { TaskPhase } from './task-table.js';
import type { NewTaskEntry, TaskEntry } from './task-table.js';
import { findCapacityRefusal } from './room-loads.js';
import { updateCapacityReport } from './capacity-report.js';
import { holdsLease } from './task-runtime.js';
import type { TaskRuntime } from './task-runtime.js';

/** A reservation lasts at most this long, whatever the entry asks for. */
const RESERVATION_MS_MAXIMUM = 30_000;

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
  return { refusals, free: runtime.context.room.free };
}

/** Reservations whose claim did not arrive in time make room. */
export function dropExpiredReservations(runtime: TaskRuntime): void {
  const now = runtime.context.clock.now();
  for (const entry of runtime.tasks.inPhase(TaskPhase.Reserved)) {
    if (now >= entry.reservedUntil) {
      runtime.tasks.remove(entry);
      runtime.context.metrics.count('reservations_expired_total');
    }
  }
}

function findAgentRefusal(runtime: TaskRuntime, parameters: TaskReserveParameters): string | null {
  const { context } = runtime;
  if (parameters.incarnation !== context.incarnation) {
    return `the agent is incarnation ${context.incarnation}`;
  }
  if (context.state !== AgentState.Serving) {
    return `the agent is ${context.state}`;
  }
  if (!holdsLease(context)) {
    return 'the agent waits for its lease';
  }
  if (!context.configuration.isConfirmed(context.clock.now())) {
    return 'the configuration is not confirmed here';
  }
  if (parameters.revision !== context.configuration.revision()) {
    return `configuration revision ${context.configuration.revision()} is in force here`;
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
    return `attempt ${existing.attempt} of the task is ${existing.phase} here`;
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

/** The guards bound how many tasks of a restrained kind run here; later ones wait or go elsewhere. */
function findKindLimitRefusal(
  runtime: TaskRuntime,
  { taskId, kind, type }: TaskReservation,
): string | null {
  const restraint = type === TaskType.Batch ? runtime.restraintOf(kind) : null;
  if (restraint === null) {
    return null;
  }
  const admitted = runtime.tasks
    .inPhase(TaskPhase.Reserved, TaskPhase.Starting, TaskPhase.Running)
    .filter((entry) => entry.kind === kind && entry.taskId !== taskId).length;
  return admitted < restraint.tasksMaximum
    ? null
    : `no more than ${restraint.tasksMaximum} tasks of kind ${kind} while the guards throttle it here`;
}

/** A repeated reservation, or one for a later attempt, replaces one that was never started. */
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
