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
import type { DecisionRecord } from './decision-record.js';
import type { HeldTask } from './heartbeat-messages.js';
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
  /** At least this revision; an entry that has only an older one returns an error. */
  revision: ConfigurationRevision;
  /** True from agents, which need only their slice; entries request the whole body. */
  slice: boolean;
}

export interface ConfigurationGetResult {
  revision: ConfigurationRevision;
  bodyHash: string;
  /** The whole body when no slice was requested. */
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
  /** Slots in use on the instance; every response updates the load known to routing. */
  slotsUsed: number;
}

/** Carries the id of the attempt, so that a response to another call can be dropped. */
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
