/**
 * Identifiers. They are plain strings and numbers on the wire; the aliases say which one a field holds.
 */
export type EntryId = string;
export type AgentId = string;
export type WorkerId = string;
export type TaskId = string;
export type JobId = string;
export type TeamName = string;
export type ServiceName = string;
export type KindName = string;
export type UrgencyClassName = string;
export type DataCentreName = string;
export type RegionName = string;
export type RackName = string;
export type RequestId = string;
export type ProposalId = string;

/** Rises by one for every applied configuration. */
export type ConfigurationRevision = number;

/** Rises by one each time an agent process takes the lease of its agent id. */
export type AgentIncarnation = number;

/** A random id of one entry process; a restarted entry has another one. */
export type EntryIncarnation = string;

/** Identifies one attempt to run a request. Sequences of one entry incarnation rise and are never reused. */
export interface AttemptId {
  entryIncarnation: EntryIncarnation;
  sequence: number;
}

/** The one process that may act on a task. */
export interface Holder {
  agentId: AgentId;
  incarnation: AgentIncarnation;
}

/** Where a process runs, from its settings. */
export interface Location {
  region: RegionName;
  dataCentre: DataCentreName;
  rack: RackName;
}
