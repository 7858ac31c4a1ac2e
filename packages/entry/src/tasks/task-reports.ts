/**
 * Applies the reports of agents to task rows. A report is settled when its change is in the row or a later
 * change superseded it. The agent repeats a report that could not be written.
 */
import { DecisionKind, TaskReportKind, TaskState, TaskType } from '@figjunction/types';
import type {
  TaskReport,
  TaskReportParameters,
  TaskReportResult,
  TaskRow,
} from '@figjunction/types';
import { isSurplusInstance } from './instance-rules.js';
import { configurationOf, createTaskDecision } from './task-context.js';
import type { TaskContext } from './task-context.js';
import { recordReportOutcome } from './report-outcomes.js';
import type { TaskEntry } from './task-table.js';
import { TaskWriteKind } from './task-store.js';

const WRITE_ATTEMPTS_MAXIMUM = 4;
const REPORT_TIMEOUT_MS = 4_000;
const FAILED_ON_MAXIMUM = 16;

interface ReportOutcome {
  settled: boolean;
  applied: boolean;
}

const SUPERSEDED: ReportOutcome = { settled: true, applied: false };
const APPLIED: ReportOutcome = { settled: true, applied: true };
const NOT_WRITTEN: ReportOutcome = { settled: false, applied: false };

export async function handleReports(
  context: TaskContext,
  { reports }: TaskReportParameters,
): Promise<TaskReportResult> {
  const refreshedRows = await refreshMismatchedRows(context, reports);
  const outcomes = await Promise.all(
    reports.map((report) =>
      applyReport(
        context,
        report,
        context.store.rows.get(report.key) ?? refreshedRows.get(report.key) ?? null,
      ),
    ),
  );
  return {
    settled: outcomes.map(({ settled }) => settled),
    applied: outcomes.map(({ applied }) => applied),
  };
}

/** Reads in one call the rows that are not cached or whose cached copy does not match the report. */
async function refreshMismatchedRows(
  context: TaskContext,
  reports: TaskReport[],
): Promise<Map<string, TaskEntry>> {
  const keys = reports
    .filter((report) => !isHolder(context.store.rows.get(report.key)?.value, report))
    .map(({ key }) => key);
  try {
    const entries = await context.store.refreshAll([...new Set(keys)]);
    return new Map(entries.flatMap((entry) => (entry === null ? [] : [[entry.key, entry]])));
  } catch {
    return new Map();
  }
}

async function applyReport(
  context: TaskContext,
  report: TaskReport,
  known: TaskEntry | null,
): Promise<ReportOutcome> {
  try {
    let entry = known;
    for (let attempt = 0; attempt < WRITE_ATTEMPTS_MAXIMUM; attempt += 1) {
      if (entry === null || !isHolder(entry.value, report)) {
        // The cached row may be stale; only the table shows that a report was superseded.
        entry = await context.store.refresh(report.key);
        if (entry === null || !isHolder(entry.value, report)) {
          return isAlreadyApplied(entry?.value, report) ? APPLIED : SUPERSEDED;
        }
      }
      const value = nextRow(context, entry.value, report);
      if (value === null) {
        return APPLIED;
      }
      const result = await context.store.write(entry.key, entry, value, {
        kind: TaskWriteKind.Report,
        timeoutMs: REPORT_TIMEOUT_MS,
      });
      if (result.applied) {
        recordReportOutcome(context, entry.value, report);
        return APPLIED;
      }
      entry = result.current;
    }
    return NOT_WRITTEN;
  } catch {
    context.entry.metrics.count('task_reports_failed_total');
    return NOT_WRITTEN;
  }
}

function isHolder(row: TaskRow | undefined, report: TaskReport): boolean {
  return (
    row?.state === TaskState.Running &&
    row.attempt === report.attempt &&
    row.holder?.agentId === report.holder.agentId &&
    row.holder.incarnation === report.holder.incarnation
  );
}

/** Whether an earlier copy of the report already changed the row, which the reporter no longer holds. */
function isAlreadyApplied(row: TaskRow | undefined, report: TaskReport): boolean {
  if (row === undefined || row.attempt !== report.attempt) {
    return false;
  }
  switch (report.kind) {
    case TaskReportKind.Completed:
      return row.state === TaskState.Completed;
    case TaskReportKind.Failed:
      return row.holder === null && row.failedOn[row.failedOn.length - 1] === report.holder.agentId;
    case TaskReportKind.Evicted:
      return row.holder === null && row.checkpointKey === report.checkpointKey;
    default:
      return false;
  }
}

/** The row after applying a report; null when the row needs no change. */
function nextRow(context: TaskContext, row: TaskRow, report: TaskReport): TaskRow | null {
  switch (report.kind) {
    case TaskReportKind.Completed:
      return completedRow(context, row, report);
    case TaskReportKind.Failed:
      return failedRow(context, row, report);
    case TaskReportKind.Evicted:
      return evictedRow(context, row, report);
    case TaskReportKind.Checkpointed:
      return { ...row, checkpointKey: report.checkpointKey ?? row.checkpointKey };
    default:
      // The agent wrote the adoption to the row itself.
      return null;
  }
}

function completedRow(context: TaskContext, row: TaskRow, report: TaskReport): TaskRow {
  if (row.type === TaskType.Instance) {
    return endedInstanceRow(context, row, report);
  }
  return {
    ...row,
    state: TaskState.Completed,
    holder: null,
    reason: null,
    endedAtMs: context.entry.clock.wallTimeMs(),
  };
}

function failedRow(context: TaskContext, row: TaskRow, report: TaskReport): TaskRow {
  const failed = {
    ...row,
    failures: row.failures + 1,
    failedOn: [...row.failedOn, report.holder.agentId].slice(-FAILED_ON_MAXIMUM),
  };
  if (row.type === TaskType.Instance) {
    const ranWell = context.instanceStarts.ranWell(
      report.key,
      row.attempt,
      context.entry.clock.now(),
    );
    const failures = ranWell ? 1 : failed.failures;
    return endedInstanceRow(context, { ...failed, failures }, report);
  }
  return requeuedRow(context, failed, report, 'it failed');
}

function evictedRow(context: TaskContext, row: TaskRow, report: TaskReport): TaskRow {
  const evicted = {
    ...row,
    evictions: row.evictions + 1,
    checkpointKey: report.checkpointKey ?? row.checkpointKey,
  };
  if (row.type === TaskType.Instance) {
    return endedInstanceRow(context, evicted, report);
  }
  return requeuedRow(context, evicted, report, 'it was evicted');
}

/** Requeues an instance, or cancels it when the configuration now declares fewer. */
function endedInstanceRow(context: TaskContext, row: TaskRow, report: TaskReport): TaskRow {
  const configuration = configurationOf(context);
  if (configuration === null || !isSurplusInstance(configuration, row)) {
    return requeuedRow(context, row, report, 'the instance ended');
  }
  return {
    ...row,
    state: TaskState.Cancelled,
    holder: null,
    reason: 'the configuration declares fewer instances',
    endedAtMs: context.entry.clock.wallTimeMs(),
  };
}

function requeuedRow(
  context: TaskContext,
  row: TaskRow,
  report: TaskReport,
  cause: string,
): TaskRow {
  const detail = report.reason === null ? '' : `: ${report.reason}`;
  const decision =
    report.decision ??
    createTaskDecision(context.entry, row, {
      kind: DecisionKind.Requeue,
      decision: `Requeued because ${cause} on ${report.holder.agentId}${detail}`,
      inputs: [
        { name: 'failures', value: row.failures },
        { name: 'evictions', value: row.evictions },
      ],
    });
  context.entry.decisions.add(decision);
  return {
    ...row,
    state: TaskState.Pending,
    holder: null,
    reason: report.reason,
    lastDecision: decision,
  };
}
