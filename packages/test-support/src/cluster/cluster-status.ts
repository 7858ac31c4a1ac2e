/**
 * Reads from `GET /v1/status` whether a revision is in force in every process.
 */
import { AgentState } from '@figjunction/types';

/** The part of the status that the harness looks at. */
export interface ClusterStatus {
  entries: { entryId: string; revision: number | null; confirmed: boolean }[];
  agents: {
    agentId: string;
    state: AgentState;
    revision: number;
    confirmed: boolean;
    instances: { ready: boolean }[];
  }[];
}

export interface ExpectedProcesses {
  entries: number;
  agents: number;
}

/** Instances that an entry sends requests to. */
export function countReadyInstances({ agents }: ClusterStatus): number {
  return agents.flatMap(({ instances }) => instances.filter(({ ready }) => ready)).length;
}

/** True when all processes are there and have confirmed the revision or a later one. */
export function isInForce(
  status: ClusterStatus,
  revision: number,
  expected: ExpectedProcesses,
): boolean {
  const { entries, agents } = status;
  const hasRevision = (one: { revision: number | null; confirmed: boolean }): boolean =>
    one.confirmed && (one.revision ?? 0) >= revision;
  return (
    entries.length >= expected.entries &&
    agents.length >= expected.agents &&
    entries.every(hasRevision) &&
    agents.every((agent) => hasRevision(agent) && agent.state === AgentState.Serving)
  );
}
