/**
 * Rows of the platform's table. Every row carries the id of the write that produced it, so that a
 * writer that lost the response can read the row to check whether its write took effect.
 */
import type { ClaimState, LeaseState, ProposalState, TaskState, TaskType } from './enums.js';
import type { DecisionRecord } from './decision-record.js';
import type {
  AgentId,
  AgentIncarnation,
  AttemptId,
  ConfigurationRevision,
  EntryId,
  EntryIncarnation,
  Holder,
  JobId,
  KindName,
  Location,
  ProposalId,
  RequestId,
  TaskId,
  TeamName,
  UrgencyClassName,
} from './identifiers.js';
import type { Resources } from './resources.js';

export interface Row {
  writeId: string;
}

export interface ConfigurationRow extends Row {
  revision: ConfigurationRevision;
  /** SHA-256 of the body, in hexadecimal. */
  bodyHash: string;
  appliedBy: string;
  /** Wall-clock time for people, ISO 8601; never compared. */
  appliedAt: string;
  /** Hashes of earlier revisions, newest first. */
  history: {
    revision: ConfigurationRevision;
    bodyHash: string;
    appliedBy: string;
    appliedAt: string;
  }[];
}

export interface TaskRow extends Row {
  taskId: TaskId;
  type: TaskType;
  jobId: JobId;
  /** SHA-256 of a batch job's content: the same job id with other content is refused. */
  jobHash?: string;
  /** Team of a batch task; empty for a service instance. */
  team: TeamName;
  /** Batch kind, or the service of an instance. */
  kind: KindName;
  urgency: UrgencyClassName;
  declaredSize: Resources;
  state: TaskState;
  /** The fencing token; increases by one on every claim. */
  attempt: number;
  holder: Holder | null;
  checkpointKey: string | null;
  parameters: Record<string, string>;
  failures: number;
  evictions: number;
  /** Agents on which this task failed, newest last. */
  failedOn: AgentId[];
  /** Why the task is held, failed or cancelled. */
  reason: string | null;
  lastDecision: DecisionRecord | null;
  /** Wall-clock times in milliseconds, for retention and people only. */
  submittedAtMs: number;
  endedAtMs: number | null;
}

export interface LeaseRow extends Row {
  agentId: AgentId;
  incarnation: AgentIncarnation;
  state: LeaseState;
  /** Increases with every renewal, so that a renewal always changes the row. */
  count: number;
}

export interface ClaimRow extends Row {
  team: TeamName;
  requestId: RequestId;
  state: ClaimState;
  /** SHA-256 of service and body: the same id with other content is refused. */
  contentHash: string;
  attempt: AttemptId;
  agentId: AgentId;
  agentIncarnation: AgentIncarnation;
  /** Status of the response; set when the response is small enough to store. */
  status: number | null;
  contentType: string | null;
  bodyBase64: string | null;
  claimedAtMs: number;
}

export interface EntryRow extends Row {
  entryId: EntryId;
  incarnation: EntryIncarnation;
  /** `http://<ip>:<port>` of the JSON-RPC interface. */
  address: string;
  location: Location;
  count: number;
  revision: ConfigurationRevision;
}

export interface ProposalRow extends Row {
  proposalId: ProposalId;
  taskId: TaskId;
  attempt: number;
  kind: KindName;
  team: TeamName;
  agentId: AgentId;
  state: ProposalState;
  revision: ConfigurationRevision;
  explanation: DecisionRecord;
  createdAtMs: number;
}
