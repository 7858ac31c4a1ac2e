/**
 * Builds the complete state of an agent from a heartbeat. An omitted section has not changed since the
 * heartbeat's base, so it is copied from the stored state if that is the base or newer. By induction every
 * stored state is a consistent snapshot of the agent, never a mixture of two.
 */
import { ErrorCode } from '@figjunction/errors';
import { HeartbeatReception, NO_BASE } from '@figjunction/types';
import type { AgentReport, HeartbeatParameters, HeartbeatSections } from '@figjunction/types';
import { EntryError } from './entry-error.js';

export interface HeartbeatMerge {
  reception: HeartbeatReception;
  /** The new state; null if the heartbeat was not accepted. */
  report: AgentReport | null;
}

export function mergeHeartbeat(
  held: AgentReport | undefined,
  heartbeat: HeartbeatParameters,
): HeartbeatMerge {
  if (held !== undefined && isOutdated(heartbeat, held)) {
    return { reception: HeartbeatReception.Outdated, report: null };
  }
  if (heartbeat.base === NO_BASE) {
    const report = reportOf(heartbeat, heartbeat.sections);
    return { reception: HeartbeatReception.Taken, report };
  }
  const holdsBase = held?.incarnation === heartbeat.incarnation && held.sequence >= heartbeat.base;
  if (!holdsBase) {
    return { reception: HeartbeatReception.NeedsFull, report: null };
  }
  const sections = { ...sectionsOf(held), ...heartbeat.sections };
  return { reception: HeartbeatReception.Taken, report: reportOf(heartbeat, sections) };
}

/** Whether a state is older than the stored one or equal to it. */
export function isOutdated(
  state: Pick<AgentReport, 'incarnation' | 'sequence'>,
  held: Pick<AgentReport, 'incarnation' | 'sequence'>,
): boolean {
  if (state.incarnation !== held.incarnation) {
    return state.incarnation < held.incarnation;
  }
  return state.sequence <= held.sequence;
}

function sectionsOf(held: AgentReport): HeartbeatSections {
  const { address, location, capacity, free, wantsWork, tasks, instances, usage } = held;
  return {
    place: { address, location, capacity },
    room: { free, wantsWork },
    tasks,
    instances,
    usage,
  };
}

function reportOf(
  heartbeat: HeartbeatParameters,
  sections: Partial<HeartbeatSections>,
): AgentReport {
  const { agentId, incarnation, sequence, state, revision, confirmed } = heartbeat;
  const { place, room, tasks, instances, usage } = sections;
  if (!place || !room || !tasks || !instances || !usage) {
    throw new EntryError(`a full heartbeat of ${agentId} lacks a section`, {
      code: ErrorCode.InvalidInput,
    });
  }
  const core = { agentId, incarnation, sequence, state, revision, confirmed };
  return { ...core, ...place, ...room, tasks, instances, usage };
}
