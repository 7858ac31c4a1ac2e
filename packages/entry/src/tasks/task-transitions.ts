/**
 * Defines the legal changes of a task row. Every write of an entry is checked here, so a bug in a system
 * causes an error and never an inconsistent row.
 */
import { ErrorCode } from '@figjunction/errors';
import { TaskState, TaskType } from '@figjunction/types';
import type { TaskRow } from '@figjunction/types';
import { EntryError } from '../entry-error.js';

const NEXT_STATES: Record<TaskState, TaskState[]> = {
  [TaskState.Pending]: [
    TaskState.Pending,
    TaskState.Running,
    TaskState.Held,
    TaskState.Cancelled,
    TaskState.Failed,
  ],
  [TaskState.Running]: [
    TaskState.Running,
    TaskState.Pending,
    TaskState.Completed,
    TaskState.Failed,
    TaskState.Cancelled,
  ],
  [TaskState.Held]: [TaskState.Held, TaskState.Pending, TaskState.Cancelled],
  [TaskState.Completed]: [],
  [TaskState.Failed]: [],
  [TaskState.Cancelled]: [],
};

const ENDED_STATES = new Set([TaskState.Completed, TaskState.Failed, TaskState.Cancelled]);

export function isEnded(state: TaskState): boolean {
  return ENDED_STATES.has(state);
}

function isLegalState(before: TaskRow, after: TaskRow): boolean {
  // Scaling a service up again reuses the row of a cancelled instance, so that its attempts keep increasing.
  const isRevivedInstance =
    before.type === TaskType.Instance &&
    before.state === TaskState.Cancelled &&
    after.state === TaskState.Pending;
  return isRevivedInstance || NEXT_STATES[before.state].includes(after.state);
}

/** A claim increases the attempt by one; no other change affects it. */
function isLegalAttempt(before: TaskRow, after: TaskRow): boolean {
  const isClaim = before.state === TaskState.Pending && after.state === TaskState.Running;
  return after.attempt === before.attempt + (isClaim ? 1 : 0);
}

/** A row has a holder if and only if it is running. */
function isLegalHolder(row: TaskRow): boolean {
  return (row.state === TaskState.Running) === (row.holder !== null);
}

/** A running task may only be adopted by a new incarnation of the same agent. */
function keepsAgent(before: TaskRow, after: TaskRow): boolean {
  const staysRunning = before.state === TaskState.Running && after.state === TaskState.Running;
  return !staysRunning || before.holder?.agentId === after.holder?.agentId;
}

/** Whether a row may change from one value to the next; null stands for a row that does not exist. */
export function isLegalTransition(before: TaskRow | null, after: TaskRow): boolean {
  if (!isLegalHolder(after)) {
    return false;
  }
  if (before === null) {
    return after.state === TaskState.Pending;
  }
  return (
    before.taskId === after.taskId &&
    isLegalState(before, after) &&
    isLegalAttempt(before, after) &&
    keepsAgent(before, after)
  );
}

export function assertLegalTransition(before: TaskRow | null, after: TaskRow): void {
  if (!isLegalTransition(before, after)) {
    throw new EntryError(
      `task ${after.taskId} must not change from ${before?.state ?? 'absent'} to ${after.state}`,
      { code: ErrorCode.Internal },
    );
  }
}
