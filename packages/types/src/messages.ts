/**
 * Parameters and results of the JSON-RPC methods between entries and agents.
 */
import type {
  AttemptState,
  ExplainSubject,
  OutcomeCode,
  RequestOutcome,
  TaskReportKind,
  TaskType,
} from './enums.js';
import type { AgentSlice } from './agent-slice.js';
import type {
  AdoptParameters,
  JobStatesParameters,
  JobStatesResult,
  OrdersParameters,
  OrdersResult,
  PendingCountsResult,
  ReportParameters,
  ReportResult,
} from './cell/cell-messages.js';
import type { DecisionRecord } from './decision-record.js';
import type { HeartbeatParameters, HeartbeatResult, HeldTask } from './heartbeat-messages.js';
import type {
  AgentId,
  AgentIncarnation,
  AttemptId,
  ConfigurationRevision,
  EntryId,
  EntryIncarnation,
  Holder,
  KindName,
  Location,
  ServiceName,
  TaskId,
  TeamName,
  UrgencyClassName,
} from './identifiers.js';
import type { Resources } from './resources.js';

export enum RpcMethod {
  AgentHeartbeat = 'agent.heartbeat',
  LeaseRenew = 'lease.renew',
  ConfigurationGet = 'configuration.get',
  TaskReserve = 'task.reserve',
  TaskStart = 'task.start',
  TaskStop = 'task.stop',
  TaskReport = 'task.report',
  AttemptRun = 'attempt.run',
  AttemptInquire = 'attempt.inquire',
  AttemptCancel = 'attempt.cancel',
  AgentDrain = 'agent.drain',
  EntryDigest = 'entry.digest',
  EntryNotify = 'entry.notify',
  ExplainGet = 'explain.get',
  RunnerReport = 'runner.report',
  RunnerOrders = 'runner.orders',
  RunnerAdopt = 'runner.adopt',
  JobStates = 'job.states',
  PendingCounts = 'queue.pending',
}

export interface LeaseRenewParameters {
  agentId: AgentId;
  incarnation: AgentIncarnation;
  /** True when the agent takes the lease for a new incarnation. */
  acquire: boolean;
}

export interface LeaseRenewResult {
  renewed: boolean;
  /** The incarnation in the row, so that a fenced agent knows which one to take next. */
  incarnation: AgentIncarnation;
}

export interface ConfigurationGetParameters {
  /** At least this revision; an entry that has only an older one answers with an error. */
  revision: ConfigurationRevision;
  /** Agents ask for their slice, entries for the whole body. */
  slice: boolean;
}

export interface ConfigurationGetResult {
  revision: ConfigurationRevision;
  bodyHash: string;
  /** Whole body when the slice was not asked for. */
  body: string | null;
  slice: AgentSlice | null;
}

export interface TaskReservation {
  taskId: TaskId;
  /** The attempt number that the claim will write. */
  attempt: number;
  type: TaskType;
  kind: KindName;
  size: Resources;
  /** True when the entry has measured enough tasks of the kind to trust the size. */
  isSizeKnown?: boolean;
}

export interface TaskReserveParameters {
  incarnation: AgentIncarnation;
  reservations: TaskReservation[];
  /** A reservation that is not started is dropped after this time. */
  remainingMs: number;
  /** Revision under which the entry placed the tasks. */
  revision: ConfigurationRevision;
}

export interface TaskReserveResult {
  /** One for each reservation, in order: null when admitted, else why it was refused. */
  refusals: (string | null)[];
  free: Resources;
}

export interface TaskStartParameters {
  incarnation: AgentIncarnation;
  tasks: { key: string; taskId: TaskId; attempt: number }[];
}

export interface TaskStopParameters {
  incarnation: AgentIncarnation;
  tasks: HeldTask[];
  /** Checkpoint and report as evicted instead of dropping the work. */
  checkpoint: boolean;
  reason: string;
}

export interface TaskReport {
  kind: TaskReportKind;
  key: string;
  taskId: TaskId;
  attempt: number;
  holder: Holder;
  checkpointKey: string | null;
  reason: string | null;
  decision: DecisionRecord | null;
}

export interface TaskReportParameters {
  agentId: AgentId;
  reports: TaskReport[];
}

/** Whether the report is settled (written, or overtaken by the row) and need not be repeated. */
export interface TaskReportResult {
  settled: boolean[];
  /** For each report: true when the row now shows it, false when the row had moved on. */
  applied: boolean[];
}

export interface AttemptRunParameters {
  attempt: AttemptId;
  incarnation: AgentIncarnation;
  taskId: TaskId;
  service: ServiceName;
  team: TeamName;
  urgency: UrgencyClassName;
  remainingMs: number;
  contentType: string;
  bodyBase64: string;
}

export interface AttemptResult {
  outcome: RequestOutcome;
  code: OutcomeCode;
  message: string;
  status: number | null;
  contentType: string | null;
  bodyBase64: string | null;
  /** Slots in use on the instance, so that routing learns with every answer. */
  slotsUsed: number;
}

/** Every answer names its attempt, so that one that belongs to another call is dropped. */
export interface AttemptRunResult extends AttemptResult {
  attempt: AttemptId;
}

export interface AttemptReference {
  attempt: AttemptId;
  incarnation: AgentIncarnation;
}

export interface AttemptInquireResult {
  attempt: AttemptId;
  state: AttemptState;
  result: AttemptResult | null;
}

export interface AttemptCancelResult {
  attempt: AttemptId;
  /** False when the attempt is recorded as cancelled and will never start. */
  started: boolean;
  result: AttemptResult | null;
}

export interface DrainParameters {
  drain: boolean;
}

export interface TeamDemand {
  team: TeamName;
  /** Requests that arrived in the last second. */
  requestsPerSecond: number;
}

export interface EntryDigestParameters {
  entryId: EntryId;
  incarnation: EntryIncarnation;
  address: string;
  location: Location;
  revision: ConfigurationRevision;
  demand: TeamDemand[];
}

export interface EntryDigestResult {
  entryId: EntryId;
  incarnation: EntryIncarnation;
  revision: ConfigurationRevision;
}

export interface EntryNotifyParameters {
  shards: number[];
}

export interface ExplainGetParameters {
  subject: ExplainSubject;
  subjectId: string;
}

export interface ExplainGetResult {
  records: DecisionRecord[];
}

/** The methods with their parameter and result types, for the typed client and server. */
export interface RpcMethods {
  [RpcMethod.AgentHeartbeat]: { parameters: HeartbeatParameters; result: HeartbeatResult };
  [RpcMethod.LeaseRenew]: { parameters: LeaseRenewParameters; result: LeaseRenewResult };
  [RpcMethod.ConfigurationGet]: {
    parameters: ConfigurationGetParameters;
    result: ConfigurationGetResult;
  };
  [RpcMethod.TaskReserve]: { parameters: TaskReserveParameters; result: TaskReserveResult };
  [RpcMethod.TaskStart]: { parameters: TaskStartParameters; result: Record<string, never> };
  [RpcMethod.TaskStop]: { parameters: TaskStopParameters; result: Record<string, never> };
  [RpcMethod.TaskReport]: { parameters: TaskReportParameters; result: TaskReportResult };
  [RpcMethod.AttemptRun]: { parameters: AttemptRunParameters; result: AttemptRunResult };
  [RpcMethod.AttemptInquire]: { parameters: AttemptReference; result: AttemptInquireResult };
  [RpcMethod.AttemptCancel]: { parameters: AttemptReference; result: AttemptCancelResult };
  [RpcMethod.AgentDrain]: { parameters: DrainParameters; result: Record<string, never> };
  [RpcMethod.EntryDigest]: { parameters: EntryDigestParameters; result: EntryDigestResult };
  [RpcMethod.EntryNotify]: { parameters: EntryNotifyParameters; result: Record<string, never> };
  [RpcMethod.ExplainGet]: { parameters: ExplainGetParameters; result: ExplainGetResult };
  [RpcMethod.RunnerReport]: { parameters: ReportParameters; result: ReportResult };
  [RpcMethod.RunnerOrders]: { parameters: OrdersParameters; result: OrdersResult };
  [RpcMethod.RunnerAdopt]: { parameters: AdoptParameters; result: Record<string, never> };
  [RpcMethod.JobStates]: { parameters: JobStatesParameters; result: JobStatesResult };
  [RpcMethod.PendingCounts]: { parameters: Record<string, never>; result: PendingCountsResult };
}
