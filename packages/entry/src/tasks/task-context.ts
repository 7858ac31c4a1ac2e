/**
 * State and helpers shared by the task systems of an entry.
 */
import type {
  BatchKindConfiguration,
  OperatorConfiguration,
  ServiceConfiguration,
} from '@figjunction/config';
import { FailureHistory } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { DecisionKind, ExplainSubject, TaskType } from '@figjunction/types';
import type {
  DecisionInput,
  DecisionRecord,
  RejectedAlternative,
  TaskRow,
} from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import type { AgentOrders } from './agent-orders.js';
import type { InstanceStarts } from './instance-starts.js';
import type { LeaseTracker } from './lease-tracker.js';
import type { RefusalMemory } from './refusal-memory.js';
import type { ReservationTable } from './reservation-table.js';
import type { ShardLoader } from './shard-loader.js';
import type { RowWriter, TaskStore } from './task-store.js';

export interface TaskContext {
  entry: EntryContext;
  store: TaskStore;
  /** Batches writes of rows other than tasks: leases and proposals. */
  leaseWriter: RowWriter;
  shards: ShardLoader;
  orders: AgentOrders;
  reservations: ReservationTable;
  leases: LeaseTracker;
  failures: FailureHistory;
  instanceStarts: InstanceStarts;
  refusals: RefusalMemory;
  /** When this process started; shortly after that it has not received heartbeats of the whole fleet yet. */
  startedAt: Instant;
  /** Set at a planned stop; no more tasks are placed then. */
  isStopping: boolean;
}

export interface DecisionDraft {
  kind: DecisionKind;
  decision: string;
  inputs?: DecisionInput[];
  rejected?: RejectedAlternative[];
}

/** Creates the record of a decision about a task, for its row and for the decision log of this process. */
export function createTaskDecision(
  entry: EntryContext,
  row: Pick<TaskRow, 'taskId' | 'team'>,
  draft: DecisionDraft,
): DecisionRecord {
  const { kind, decision, inputs = [], rejected = [] } = draft;
  return {
    subject: ExplainSubject.Run,
    subjectId: row.taskId,
    kind,
    decidedAt: new Date(entry.clock.wallTimeMs()).toISOString(),
    decidedBy: entry.settings.entryId,
    configurationRevision: entry.configuration.revision(),
    decision,
    inputs,
    rejected,
    team: row.team === '' ? null : row.team,
  };
}

/** Creates the record of a decision about a VM, for the decision log of this process. */
export function createVmDecision(
  entry: EntryContext,
  agentId: string,
  draft: DecisionDraft,
): DecisionRecord {
  const record = createTaskDecision(entry, { taskId: agentId, team: '' }, draft);
  return { ...record, subject: ExplainSubject.Vm };
}

export function configurationOf(context: TaskContext): OperatorConfiguration | null {
  return context.entry.configuration.current()?.configuration ?? null;
}

/** The configuration of a task's kind or service; undefined when it was removed. */
export function scopeOf(
  configuration: OperatorConfiguration,
  row: Pick<TaskRow, 'type' | 'kind'>,
): BatchKindConfiguration | ServiceConfiguration | undefined {
  return row.type === TaskType.Instance
    ? configuration.services.find(({ name }) => name === row.kind)
    : configuration.batchKinds.find(({ name }) => name === row.kind);
}

/** Runs a procedure asynchronously, outside the tick loop; a failure is counted and the next tick retries. */
export function runInBackground(
  context: TaskContext,
  name: string,
  run: () => Promise<void>,
): void {
  run().catch((error: unknown) => {
    context.entry.metrics.count('task_procedures_failed_total', { procedure: name });
    const message = error instanceof Error ? error.message : String(error);
    context.entry.logger.debug({ procedure: name, error: message }, 'task procedure failed');
  });
}
