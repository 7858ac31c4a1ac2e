/**
 * Capacity that this entry reserved at agents and that their heartbeats may not reflect yet. The free capacity
 * in a heartbeat already accounts for reservations that were confirmed before it.
 */
import type { Instant } from '@figjunction/time';
import { subtractResources } from '@figjunction/decisions';
import type { AgentId, KindName, Resources } from '@figjunction/types';
import type { KnownAgent } from '../agent-directory.js';

export interface Reservation {
  key: string;
  agentId: AgentId;
  kind: KindName;
  team: string;
  size: Resources;
  /** When the agent's response arrived; infinite while the call is in progress. */
  respondedAt: Instant;
  deadline: Instant;
}

export class ReservationTable {
  private readonly byAgent = new Map<AgentId, Map<string, Reservation>>();

  add(reservation: Reservation): void {
    const reservations = this.byAgent.get(reservation.agentId) ?? new Map<string, Reservation>();
    reservations.set(reservation.key, reservation);
    this.byAgent.set(reservation.agentId, reservations);
  }

  remove(agentId: AgentId, key: string): void {
    this.byAgent.get(agentId)?.delete(key);
  }

  /** Reservations in progress, of tasks whose rows do not name the agent yet. */
  ofAgent(agentId: AgentId): Iterable<Reservation> {
    return this.byAgent.get(agentId)?.values() ?? [];
  }

  all(): Reservation[] {
    return [...this.byAgent.values()].flatMap((reservations) => [...reservations.values()]);
  }

  /** Whether a call to the agent is in progress; no more is reserved at a slow agent until it responds. */
  hasCallInProgress(agentId: AgentId): boolean {
    return [...this.ofAgent(agentId)].some(
      ({ respondedAt: answeredAt }) => !Number.isFinite(answeredAt),
    );
  }

  /** Free capacity of an agent minus the reservations that its last heartbeat cannot include. */
  freeCapacityOf(agent: KnownAgent): Resources {
    let { free } = agent;
    for (const reservation of this.ofAgent(agent.agentId)) {
      if (reservation.respondedAt >= agent.lastHeartbeatAt) {
        free = subtractResources(free, reservation.size);
      }
    }
    return free;
  }

  dropExpired(now: Instant): void {
    for (const [agentId, reservations] of this.byAgent) {
      for (const { key, deadline } of reservations.values()) {
        if (now >= deadline) {
          reservations.delete(key);
        }
      }
      if (reservations.size === 0) {
        this.byAgent.delete(agentId);
      }
    }
  }
}
