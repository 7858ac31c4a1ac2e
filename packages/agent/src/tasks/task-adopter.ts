/**
 * Adopts or stops tasks that were found on the worker after the agent restarted, lost its lease or made a
 * call with an unknown outcome. A task is adopted only if its row can be moved to this incarnation; all
 * others are stopped.
 */
import { randomUUID } from 'node:crypto';
import { ErrorCode, errorCodeOf, toError } from '@figjunction/errors';
import { SHARD_COUNT, TaskState, taskKey } from '@figjunction/types';
import type { AgentIncarnation, TaskRow, VersionedRow } from '@figjunction/types';
import { stopOnWorker } from './task-ender.js';
import { TaskPhase } from './task-table.js';
import type { TaskEntry } from './task-table.js';
import { holdsLease } from './task-runtime.js';
import type { TaskRuntime } from './task-runtime.js';

/**
 * Bounds the size of one read: the worker knows only the id of a task, while the key of its row also contains
 * the shard, so the keys of all shards are read for each task.
 */
const TASKS_PER_READ = 8;

export async function adoptTasks(runtime: TaskRuntime): Promise<void> {
  if (!holdsLease(runtime.context)) {
    return;
  }
  const unadopted = runtime.tasks.inPhase(TaskPhase.Unadopted).filter((entry) => !entry.isLocked);
  for (let first = 0; first < unadopted.length; first += TASKS_PER_READ) {
    await adoptEntries(runtime, unadopted.slice(first, first + TASKS_PER_READ));
  }
}

async function adoptEntries(runtime: TaskRuntime, entries: TaskEntry[]): Promise<void> {
  for (const entry of entries) {
    entry.isLocked = true;
  }
  try {
    const keys = entries.flatMap(listCandidateKeys);
    const rows = await runtime.context.table.read<TaskRow>(keys);
    const byTask = new Map(
      rows.filter((row) => row !== null).map((row) => [row.value.taskId, row]),
    );
    await Promise.all(
      entries.map((entry) => adoptTask(runtime, entry, byTask.get(entry.taskId) ?? null)),
    );
  } catch (error) {
    const { message } = toError(error);
    runtime.context.logger.debug({ error: message }, 'adoption of tasks failed; will retry');
  } finally {
    for (const entry of entries) {
      entry.isLocked = false;
    }
  }
}

function listCandidateKeys(entry: TaskEntry): string[] {
  if (entry.key !== null) {
    return [entry.key];
  }
  return Array.from({ length: SHARD_COUNT }, (_, shard) => taskKey(shard, entry.taskId));
}

async function adoptTask(
  runtime: TaskRuntime,
  entry: TaskEntry,
  row: VersionedRow<TaskRow> | null,
): Promise<void> {
  const { context } = runtime;
  if (entry.phase !== TaskPhase.Unadopted || !holdsLease(context)) {
    return;
  }
  // The lease may be lost and acquired again while the write is in progress.
  const { incarnation } = context;
  const isAdoptable = row !== null && hasAdoptableHolder(runtime, entry, row.value);
  if (isAdoptable && (await writeHolder(runtime, row, incarnation))) {
    if (context.incarnation === incarnation) {
      markAdopted(runtime, entry, row);
    }
    return;
  }
  await stopUnownedTask(runtime, entry);
}

function hasAdoptableHolder({ context }: TaskRuntime, entry: TaskEntry, row: TaskRow): boolean {
  return (
    row.state === TaskState.Running &&
    row.attempt === entry.attempt &&
    row.holder?.agentId === context.settings.agentId &&
    row.holder.incarnation <= context.incarnation
  );
}

/**
 * Writes this incarnation as the holder into the row. Returns false only if the row does not name the
 * incarnation; throws if that cannot be determined.
 */
async function writeHolder(
  { context }: TaskRuntime,
  row: VersionedRow<TaskRow>,
  incarnation: AgentIncarnation,
): Promise<boolean> {
  const { agentId } = context.settings;
  if (row.value.holder?.incarnation === incarnation) {
    return true;
  }
  const holder = { agentId, incarnation };
  const value: TaskRow = { ...row.value, holder, writeId: randomUUID() };
  try {
    const result = await context.table.transact({
      checks: [],
      writes: [{ key: row.key, expectedVersion: row.version, value }],
    });
    return result.committed;
  } catch (error) {
    if (errorCodeOf(error) !== ErrorCode.OutcomeUnknown) {
      throw error;
    }
    const [current] = await context.table.read<TaskRow>([row.key]);
    return current?.value.writeId === value.writeId;
  }
}

function markAdopted(runtime: TaskRuntime, entry: TaskEntry, row: VersionedRow<TaskRow>): void {
  const { context } = runtime;
  entry.key = row.key;
  entry.incarnation = context.incarnation;
  entry.team = row.value.team;
  entry.checkpointKey = row.value.checkpointKey;
  entry.evictions = row.value.evictions;
  entry.phase = TaskPhase.Running;
  entry.startedAt = context.clock.now();
  entry.isAdopted = true;
  context.isHeartbeatDue = true;
  context.metrics.count('tasks_adopted_total');
}

async function stopUnownedTask(runtime: TaskRuntime, entry: TaskEntry): Promise<void> {
  const { context, tasks } = runtime;
  await stopOnWorker(runtime, entry);
  context.instances.remove(entry.taskId);
  tasks.remove(entry);
  context.isHeartbeatDue = true;
  context.metrics.count('tasks_not_adopted_total');
  context.logger.info({ task: entry.taskId, attempt: entry.attempt }, 'stopped a task of others');
}
