/**
 * Key prefixes and key builders for the rows of the table.
 */
import type { AgentId, EntryId, ProposalId, RequestId, TaskId, TeamName } from './identifiers.js';

/** Tasks are spread over this many shards by a hash of team or service. */
export const SHARD_COUNT = 64;

export const CONFIGURATION_KEY = 'configuration/current';
export const TASK_PREFIX = 'tasks/';
export const LEASE_PREFIX = 'leases/';
export const ENTRY_PREFIX = 'entries/';
export const CLAIM_PREFIX = 'claims/';
export const PROPOSAL_PREFIX = 'proposals/';

const SHARD_DIGITS = 2;

export function shardPrefix(shard: number): string {
  return `${TASK_PREFIX}${String(shard).padStart(SHARD_DIGITS, '0')}/`;
}

export function taskKey(shard: number, taskId: TaskId): string {
  return `${shardPrefix(shard)}${taskId}`;
}

export function leaseKey(agentId: AgentId): string {
  return `${LEASE_PREFIX}${agentId}`;
}

export function entryKey(entryId: EntryId): string {
  return `${ENTRY_PREFIX}${entryId}`;
}

export function claimKey(team: TeamName, requestId: RequestId): string {
  return `${CLAIM_PREFIX}${encodeURIComponent(team)}/${encodeURIComponent(requestId)}`;
}

export function proposalKey(proposalId: ProposalId): string {
  return `${PROPOSAL_PREFIX}${proposalId}`;
}

export function configurationObjectKey(bodyHash: string): string {
  return `configurations/${bodyHash}`;
}
