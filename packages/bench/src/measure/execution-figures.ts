/**
 * Figures from the fake workers' own record of what executed.
 */
import { ExecutionEvent } from '@figjunction/test-support';
import type { ExecutionRecord } from '@figjunction/test-support';
import { Latency } from './latency.js';

/** What became of one batch task over all its attempts. */
export interface TaskHistory {
  taskId: string;
  kind: string;
  firstStartAtMs: number;
  starts: number;
  failures: number;
  /** Ends of an attempt that neither completed nor failed. */
  stops: number;
  completedAtMs: number | null;
  completions: number;
  workerIds: Set<string>;
}

/** Histories of the batch tasks of the given kinds, by task id. */
export function historiesOf(log: ExecutionRecord[], kinds: string[]): Map<string, TaskHistory> {
  const histories = new Map<string, TaskHistory>();
  for (const record of log) {
    if (kinds.includes(record.kind)) {
      const history = histories.get(record.taskId) ?? createHistory(record);
      histories.set(record.taskId, history);
      addRecord(history, record);
    }
  }
  return histories;
}

function createHistory({ taskId, kind, atHostMs }: ExecutionRecord): TaskHistory {
  return {
    taskId,
    kind,
    firstStartAtMs: atHostMs,
    starts: 0,
    failures: 0,
    stops: 0,
    completedAtMs: null,
    completions: 0,
    workerIds: new Set(),
  };
}

function addRecord(history: TaskHistory, record: ExecutionRecord): void {
  switch (record.event) {
    case ExecutionEvent.TaskStart:
      history.starts += 1;
      history.workerIds.add(record.workerId);
      break;
    case ExecutionEvent.TaskComplete:
      history.completions += 1;
      history.completedAtMs = record.atHostMs;
      break;
    case ExecutionEvent.TaskFail:
      history.failures += 1;
      break;
    case ExecutionEvent.TaskStop:
      history.stops += 1;
      break;
    default:
  }
}

export function countEvents(log: ExecutionRecord[], event: ExecutionEvent): number {
  return log.filter((record) => record.event === event).length;
}

/** Batch tasks completed between two host times. */
export function completionsBetween(
  histories: Map<string, TaskHistory>,
  fromMs: number,
  toMs: number,
): number {
  return [...histories.values()].filter(
    ({ completedAtMs }) =>
      completedAtMs !== null && completedAtMs >= fromMs && completedAtMs < toMs,
  ).length;
}

/** Figures of what happened to tasks beyond running once. */
export function repetitionFigures(histories: Map<string, TaskHistory>): Record<string, number> {
  const all = [...histories.values()];
  return {
    startedTasks: all.length,
    completedTasks: all.filter(({ completions }) => completions > 0).length,
    completedTwice: all.filter(({ completions }) => completions > 1).length,
    startedMoreThanOnce: all.filter(({ starts }) => starts > 1).length,
    evictions: all.reduce((sum, { stops }) => sum + stops, 0),
    failures: all.reduce((sum, { failures }) => sum + failures, 0),
  };
}

/** Waits from submission to first start; tasks that never started have none. */
export function startWaits(
  histories: Map<string, TaskHistory>,
  submittedAtMs: Map<string, number>,
): Latency {
  const latency = new Latency();
  for (const [taskId, submitted] of submittedAtMs) {
    const history = histories.get(taskId);
    if (history !== undefined) {
      latency.record(history.firstStartAtMs - submitted);
    }
  }
  return latency;
}
