/**
 * The calls of an entry that several commands use, with the shapes of their answers.
 */
import type { ConfigurationDifference } from '@figjunction/config';
import type { InstanceReport, Location, Resources } from '@figjunction/types';
import type { ConfigurationFile } from './configuration-file.js';
import type { EntryConnection } from './entry-connection.js';

export interface PlanAnswer {
  currentRevision: number;
  differences: ConfigurationDifference[];
  warnings: string[];
}

export interface RevisionSummary {
  revision: number;
  bodyHash: string | null;
  appliedBy: string | null;
  appliedAt: string | null;
}

export interface ConfigurationAnswer extends RevisionSummary {
  body: string | null;
}

export interface EntryStatus {
  entryId: string;
  address: string;
  location: Location;
  revision: number | null;
  confirmed: boolean;
  waitingFor: string[];
}

export interface AgentStatus {
  agentId: string;
  state: string;
  location: Location;
  revision: number;
  confirmed: boolean;
  capacity: Resources;
  free: Resources;
  instances: InstanceReport[];
  tasksHeld: number;
  heardMsAgo: number;
}

export interface AbsentProcess {
  name: string;
  revision: number | null;
  silentMs: number;
}

export interface StatusAnswer {
  answeredBy: string;
  revision: number;
  entries: EntryStatus[];
  agents: AgentStatus[];
  /** Known earlier, not heard of any more. */
  absent: AbsentProcess[];
}

export function requestPlan(entry: EntryConnection, file: ConfigurationFile): Promise<PlanAnswer> {
  const { body, fileName } = file;
  return entry.call('POST', '/v1/configuration/plan', { body, fileName });
}

/** The current revision, or an earlier one of the history. */
export function requestConfiguration(
  entry: EntryConnection,
  revision: number | null = null,
): Promise<ConfigurationAnswer> {
  const query = revision === null ? '' : `?revision=${revision}`;
  return entry.call('GET', `/v1/configuration${query}`);
}

export function requestStatus(entry: EntryConnection): Promise<StatusAnswer> {
  return entry.call('GET', '/v1/status');
}
