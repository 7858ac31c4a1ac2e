/**
 * Remembers processes that are no longer heard of, so that a status does not look complete when a part
 * of the system is cut off. A planned stop of an agent is no absence.
 */
import type { Instant } from '@figjunction/time';
import { AgentState } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';

/** After this time an absent process is taken as replaced. */
const ABSENCE_KEPT_MS = 600_000;

export interface AbsentProcess {
  name: string;
  /** The revision it last named; null for an entry. */
  revision: number | null;
  lastSeen: Instant;
}

export class AbsenceLog {
  private readonly seen = new Map<string, AbsentProcess>();

  constructor(private readonly context: EntryContext) {}

  /** Notes who is known now. */
  note(now: Instant): void {
    const { agents, peers } = this.context;
    for (const { agentId, state, revision, lastHeard } of agents.all()) {
      if (state === AgentState.Leaving) {
        this.seen.delete(agentId);
      } else {
        this.seen.set(agentId, { name: agentId, revision, lastSeen: lastHeard });
      }
    }
    for (const { entryId } of peers.others()) {
      this.seen.set(entryId, { name: entryId, revision: null, lastSeen: now });
    }
    for (const { name, lastSeen } of this.seen.values()) {
      if (now - lastSeen > ABSENCE_KEPT_MS) {
        this.seen.delete(name);
      }
    }
  }

  /** Processes that were known and are not any more. */
  absent(): AbsentProcess[] {
    const { agents, peers } = this.context;
    const present = new Set([
      ...agents.all().map(({ agentId }) => agentId),
      ...peers.others().map(({ entryId }) => entryId),
    ]);
    return [...this.seen.values()].filter(({ name }) => !present.has(name));
  }
}
