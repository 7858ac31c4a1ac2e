/**
 * Cancellation: the row changes first, which fences a running task, then its agent is told to stop. The
 * writes of a wave share transactions and the stop orders to one agent share a message.
 */
import { ErrorCode } from '@figjunction/errors';
import { DecisionKind, TaskState } from '@figjunction/types';
import type { TaskRow } from '@figjunction/types';
import { EntryError } from '../entry-error.js';
import { notifyOwners } from './shard-notices.js';
import { createTaskDecision } from './task-context.js';
import type { TaskContext } from './task-context.js';
import { shardOfRow } from './task-identifiers.js';
import { TaskWriteKind } from './task-store.js';
import type { TaskEntry } from './task-table.js';
import { isEnded } from './task-transitions.js';

const ATTEMPTS_MAXIMUM = 5;
const CANCEL_TIMEOUT_MS = 10_000;
/** Twice what a row takes when 64 rows share a transaction every 100 ms. */
const CANCEL_MS_PER_ROW = 3;

/** Cancels rows and returns how many were cancelled by this call. */
export async function cancelRows(
  context: TaskContext,
  rows: TaskEntry[],
  reason: string,
): Promise<number> {
  const timeoutMs = CANCEL_TIMEOUT_MS + rows.length * CANCEL_MS_PER_ROW;
  // Waiting rows first: the room of cancelled running ones would else go to others of the same wave.
  const ordered = [...rows].sort(
    (left, right) => Number(isRunning(left)) - Number(isRunning(right)),
  );
  const results = await Promise.allSettled(
    ordered.map((row) => cancelRow(context, row, reason, timeoutMs)),
  );
  notifyOwners(context, [...new Set(rows.map(({ value }) => shardOfRow(value)))]);
  const failures = results.filter(({ status }) => status === 'rejected').length;
  if (failures > 0) {
    throw new EntryError(`${failures} of ${rows.length} tasks could not be cancelled; try again`, {
      code: ErrorCode.Unavailable,
    });
  }
  return results.filter((result) => result.status === 'fulfilled' && result.value).length;
}

function isRunning({ value }: TaskEntry): boolean {
  return value.state === TaskState.Running;
}

export async function cancelRow(
  context: TaskContext,
  entry: TaskEntry,
  reason: string,
  timeoutMs = CANCEL_TIMEOUT_MS,
): Promise<boolean> {
  let current: TaskEntry | null = entry;
  for (let attempt = 0; attempt < ATTEMPTS_MAXIMUM && current !== null; attempt += 1) {
    const before: TaskEntry = current;
    if (isEnded(before.value.state)) {
      return false;
    }
    const result = await context.store.write(
      before.key,
      before,
      cancelledRow(context, before.value, reason),
      { kind: TaskWriteKind.Cancel, timeoutMs },
    );
    if (result.applied) {
      stopHolder(context, before.value, reason);
      context.entry.metrics.count('tasks_cancelled_total');
      return true;
    }
    current = result.current;
  }
  return false;
}

function cancelledRow(context: TaskContext, row: TaskRow, reason: string): TaskRow {
  const decision = createTaskDecision(context.entry, row, {
    kind: DecisionKind.Cancel,
    decision: reason,
    inputs: [{ name: 'stateBefore', value: row.state }],
  });
  context.entry.decisions.add(decision);
  return {
    ...row,
    state: TaskState.Cancelled,
    holder: null,
    reason,
    lastDecision: decision,
    endedAtMs: context.entry.clock.wallTimeMs(),
  };
}

function stopHolder(context: TaskContext, row: TaskRow, reason: string): void {
  if (row.holder !== null) {
    const { holder, taskId, attempt } = row;
    context.orders.stop({ holder, taskId, attempt, checkpoint: false, reason });
  }
}
