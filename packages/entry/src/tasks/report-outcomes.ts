/**
 * Records successes and failures of tasks per worker and kind, for quarantine.
 */
import { DecisionKind, TaskReportKind } from '@figjunction/types';
import type { TaskReport, TaskRow } from '@figjunction/types';
import { createVmDecision } from './task-context.js';
import type { TaskContext } from './task-context.js';

/** Counts an applied report and quarantines the worker if many kinds fail on it. */
export function recordReportOutcome(context: TaskContext, row: TaskRow, report: TaskReport): void {
  const { metrics, clock, settings } = context.entry;
  metrics.count('task_reports_total', { kind: report.kind });
  if (!settings.policy.quarantine) {
    return;
  }
  const { agentId } = report.holder;
  const { failures } = context;
  if (report.kind === TaskReportKind.Completed) {
    failures.recordSuccess(agentId, row.kind);
  } else if (report.kind === TaskReportKind.Failed) {
    const quarantined = failures.recordFailure(agentId, row.kind, clock.now());
    if (quarantined) {
      recordQuarantine(context, agentId);
    }
  }
}

function recordQuarantine(context: TaskContext, agentId: string): void {
  context.entry.metrics.count('workers_quarantined_total');
  context.entry.logger.warn({ agentId }, 'worker quarantined');
  context.entry.decisions.add(
    createVmDecision(context.entry, agentId, {
      kind: DecisionKind.Quarantine,
      decision: `Quarantined ${agentId} because many kinds fail on it`,
    }),
  );
}
