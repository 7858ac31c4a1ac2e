/**
 * Enums used in rows, messages and responses.
 */
export enum TaskType {
  Batch = 'batch',
  Instance = 'instance',
}

export enum TaskState {
  Pending = 'pending',
  Running = 'running',
  Held = 'held',
  Completed = 'completed',
  Failed = 'failed',
  Cancelled = 'cancelled',
}

export enum LeaseState {
  Active = 'active',
  Fenced = 'fenced',
}

/** What is known about the execution of a request. */
export enum RequestOutcome {
  Completed = 'completed',
  NotRun = 'not-run',
  Unknown = 'unknown',
}

/** Why a request or an attempt ended as it did. Sent to callers as `code`. */
export enum OutcomeCode {
  Ok = 'ok',
  BadRequest = 'bad-request',
  Unauthenticated = 'unauthenticated',
  Forbidden = 'forbidden',
  UnknownService = 'unknown-service',
  BodyTooLarge = 'body-too-large',
  RequestIdReused = 'request-id-reused',
  QuotaExceeded = 'quota-exceeded',
  QueueFull = 'queue-full',
  DeadlineTooShort = 'deadline-too-short',
  NoTarget = 'no-target',
  NoSlot = 'no-slot',
  TableUnavailable = 'table-unavailable',
  Draining = 'draining',
  WrongIncarnation = 'wrong-incarnation',
  AttemptCancelled = 'attempt-cancelled',
  AttemptExpired = 'attempt-expired',
  TargetFailed = 'target-failed',
  ConnectionLost = 'connection-lost',
  AnswerNotKept = 'answer-not-kept',
  TimedOut = 'timed-out',
  /** Another entry is still working on the request with this id. */
  InProgress = 'in-progress',
}

export enum ClaimState {
  Claimed = 'claimed',
  Completed = 'completed',
  NotRun = 'not-run',
  Unknown = 'unknown',
}

export enum AttemptState {
  UnknownHere = 'unknown-here',
  Running = 'running',
  Ended = 'ended',
  Cancelled = 'cancelled',
}

export enum AgentState {
  /** Reads the state of its worker and adopts running tasks; accepts no new work yet. */
  Starting = 'starting',
  Serving = 'serving',
  /** Finishes its current work; accepts no new work. */
  Leaving = 'leaving',
}

export enum WorkerTaskState {
  Running = 'running',
  /** Its lease deadline has passed; it resumes when the lease is extended. */
  Suspended = 'suspended',
  Completed = 'completed',
  Failed = 'failed',
  Stopped = 'stopped',
}

export enum TaskReportKind {
  Completed = 'completed',
  Failed = 'failed',
  Evicted = 'evicted',
  Checkpointed = 'checkpointed',
  Adopted = 'adopted',
}

export enum PlacementMode {
  Push = 'push',
  Pull = 'pull',
}

export enum ApprovalMode {
  Automatic = 'automatic',
  Approval = 'approval',
}

export enum ProposalState {
  Open = 'open',
  Approved = 'approved',
  Expired = 'expired',
}

export enum Role {
  Caller = 'caller',
  Operator = 'operator',
}

export enum ExplainSubject {
  Request = 'request',
  Run = 'run',
  Proposal = 'proposal',
  Vm = 'vm',
}

export enum DecisionKind {
  Route = 'route',
  Admit = 'admit',
  Place = 'place',
  Hold = 'hold',
  Propose = 'propose',
  Throttle = 'throttle',
  Evict = 'evict',
  Requeue = 'requeue',
  Fence = 'fence',
  Eject = 'eject',
  Quarantine = 'quarantine',
  Cancel = 'cancel',
  Drain = 'drain',
}
