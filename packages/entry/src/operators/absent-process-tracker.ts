/**
 * Tracks processes that became unreachable, so that a status does not look complete during a network
 * partition. An agent that stops as planned does not count as absent.
 */
import type { Instant } from '@figjunction/time';
import { AgentState } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';

/** After this time an absent process is assumed to be replaced and is no longer listed. */
const ABSENCE_RETENTION_MS = 600_000;

export interface AbsentProcess {
  name: string;
  /** The last revision that it reported; null for an entry. */
  revision: number | null;
  lastSeen: Instant;
}

export class AbsentProcessTracker {
  private readonly seen = new Map<string, AbsentProcess>();

  constructor(private readonly context: EntryContext) {}

  /** Records the processes that are known now and removes those past the retention time. */
  update(now: Instant): void {
    const { agents, peers } = this.context;
    for (const { agentId, state, revision, lastHeartbeatAt: lastHeard } of agents.all()) {
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
      if (now - lastSeen > ABSENCE_RETENTION_MS) {
        this.seen.delete(name);
      }
    }
  }

  /** Processes that were known earlier and are not known now. */
  absent(): AbsentProcess[] {
    const { agents, peers } = this.context;
    const present = new Set([
      ...agents.all().map(({ agentId }) => agentId),
      ...peers.others().map(({ entryId }) => entryId),
    ]);
    return [...this.seen.values()].filter(({ name }) => !present.has(name));
  }
}
