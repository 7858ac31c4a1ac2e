/**
 * When and where each run executed, from the fake workers' own record, and the checks on it.
 */
import { ExecutionEvent } from '@figjunction/test-support';
import type { ExecutionRecord } from '@figjunction/test-support';

export class ProofError extends Error {}

/** A stretch of time in which one attempt of a run executed on one worker. */
export interface ExecutionInterval {
  taskId: string;
  attempt: number;
  workerId: string;
  from: number;
  /** Infinite while it goes on. */
  to: number;
}

const BEGINNINGS = new Set([ExecutionEvent.TaskStart, ExecutionEvent.TaskResume]);
const ENDINGS = new Set([
  ExecutionEvent.TaskSuspend,
  ExecutionEvent.TaskComplete,
  ExecutionEvent.TaskFail,
  ExecutionEvent.TaskStop,
]);

function intervalsOf(records: ExecutionRecord[]): ExecutionInterval[] {
  const intervals: ExecutionInterval[] = [];
  const open = new Map<string, ExecutionInterval>();
  for (const { taskId, attempt, workerId, event, atHostMs } of records) {
    const place = `${workerId} ${taskId} ${attempt}`;
    if (BEGINNINGS.has(event)) {
      const interval = { taskId, attempt, workerId, from: atHostMs, to: Number.POSITIVE_INFINITY };
      intervals.push(interval);
      open.set(place, interval);
    } else if (ENDINGS.has(event)) {
      const interval = open.get(place);
      if (interval !== undefined) {
        interval.to = atHostMs;
      }
      open.delete(place);
    }
  }
  return intervals;
}

/** Fails when two attempts of one run executed at the same time. */
export function checkOnePlace(records: ExecutionRecord[]): void {
  const byTask = groupBy(intervalsOf(records), ({ taskId }) => taskId);
  for (const [taskId, intervals] of byTask) {
    intervals.sort((left, right) => left.from - right.from);
    intervals.forEach((interval, index) => {
      const next = intervals[index + 1];
      if (next !== undefined && next.from < interval.to) {
        throw new ProofError(
          `${taskId} executed at once as ${describe(interval)} and ${describe(next)}`,
        );
      }
    });
  }
}

/** Fails when an attempt started twice, or a run completed more or less than once. */
export function checkEachOnce(records: ExecutionRecord[], taskIds: string[]): void {
  const starts = records.filter(({ event }) => event === ExecutionEvent.TaskStart);
  for (const [attempt, same] of groupBy(starts, (one) => `${one.taskId} attempt ${one.attempt}`)) {
    if (same.length > 1) {
      throw new ProofError(`${attempt} started ${same.length} times`);
    }
  }
  const completions = records.filter(({ event }) => event === ExecutionEvent.TaskComplete);
  const byTask = groupBy(completions, ({ taskId }) => taskId);
  for (const taskId of taskIds) {
    const count = byTask.get(taskId)?.length ?? 0;
    if (count !== 1) {
      throw new ProofError(`${taskId} completed ${count} times`);
    }
  }
}

/** Fails when two starts continued from one checkpoint; returns how many starts used a checkpoint. */
export function checkCheckpointsUsedOnce(records: ExecutionRecord[]): number {
  const resumed = records.filter(
    ({ event, detail }) => event === ExecutionEvent.TaskStart && detail !== undefined,
  );
  for (const [checkpoint, starts] of groupBy(resumed, ({ detail }) => detail ?? '')) {
    if (starts.length > 1) {
      throw new ProofError(`${starts.length} starts continued from ${checkpoint}`);
    }
  }
  return resumed.length;
}

/** Fails when a start continued from another checkpoint than the newest one of its run. */
export function checkNewestCheckpointUsed(records: ExecutionRecord[]): void {
  const newest = new Map<string, string | undefined>();
  for (const { event, taskId, attempt, detail } of records) {
    if (event === ExecutionEvent.TaskCheckpoint) {
      newest.set(taskId, detail);
    } else if (event === ExecutionEvent.TaskStart && detail !== newest.get(taskId)) {
      throw new ProofError(
        `attempt ${attempt} of ${taskId} continued from ${detail}, not from ${newest.get(taskId)}`,
      );
    }
  }
}

/** Fails when a run that had executed before began anew without a checkpoint. */
export function checkNothingLost(records: ExecutionRecord[]): void {
  const starts = records.filter(({ event }) => event === ExecutionEvent.TaskStart);
  for (const [taskId, attempts] of groupBy(starts, (one) => one.taskId)) {
    const anew = attempts.slice(1).find(({ detail }) => detail === undefined);
    if (anew !== undefined) {
      throw new ProofError(`attempt ${anew.attempt} of ${taskId} began anew`);
    }
  }
}

function describe({ workerId, attempt, from, to }: ExecutionInterval): string {
  return `attempt ${attempt} on ${workerId} from ${Math.round(from)} to ${Math.round(to)} ms`;
}

function groupBy<Item>(items: Item[], keyOf: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key) ?? [];
    group.push(item);
    groups.set(key, group);
  }
  return groups;
}
