/**
 * The agents that sent a heartbeat to this entry. This state may be stale; the agent itself has the final
 * decision on any request.
 */
import type { Instant } from '@figjunction/time';
import { AgentState } from '@figjunction/types';
import type {
  AgentId,
  AgentReport,
  HeartbeatParameters,
  HeartbeatReception,
  InstanceReport,
  ServiceName,
} from '@figjunction/types';
import { isOutdated, mergeHeartbeat } from './heartbeat-merge.js';

/** An agent without a heartbeat for this long is dropped; invariant 7 allows 5 s. */
export const AGENT_HEARTBEAT_TIMEOUT_MS = 3_500;

export interface KnownAgent extends AgentReport {
  lastHeartbeatAt: Instant;
}

export interface KnownInstance {
  agent: KnownAgent;
  instance: InstanceReport;
}

export class AgentDirectory {
  private readonly agents = new Map<AgentId, KnownAgent>();

  /** Applies a full heartbeat, or a delta to the stored state, unless a newer state is stored. */
  receive(heartbeat: HeartbeatParameters, now: Instant): HeartbeatReception {
    const held = this.agents.get(heartbeat.agentId);
    const { reception, report } = mergeHeartbeat(held, heartbeat);
    if (report !== null) {
      this.accept(report, now);
    }
    return reception;
  }

  /** Stores a complete state unless a newer one of the agent is stored. Returns whether it was stored. */
  accept(report: AgentReport, now: Instant): boolean {
    const held = this.agents.get(report.agentId);
    if (held !== undefined && isOutdated(report, held)) {
      return false;
    }
    this.agents.set(report.agentId, { ...report, lastHeartbeatAt: now });
    return true;
  }

  get(agentId: AgentId): KnownAgent | undefined {
    return this.agents.get(agentId);
  }

  all(): KnownAgent[] {
    return [...this.agents.values()];
  }

  /** Agents that accept new work. */
  serving(): KnownAgent[] {
    return this.all().filter((agent) => agent.state === AgentState.Serving);
  }

  readyInstancesOf(service: ServiceName): KnownInstance[] {
    return this.serving().flatMap((agent) =>
      agent.instances
        .filter((instance) => instance.service === service && instance.ready)
        .map((instance) => ({ agent, instance })),
    );
  }

  remove(agentId: AgentId): void {
    this.agents.delete(agentId);
  }

  /** Removes and returns the agents without a heartbeat within the timeout. */
  dropUnreachable(now: Instant): KnownAgent[] {
    const unreachable = this.all().filter(
      (agent) => now - agent.lastHeartbeatAt > AGENT_HEARTBEAT_TIMEOUT_MS,
    );
    for (const agent of unreachable) {
      this.agents.delete(agent.agentId);
    }
    return unreachable;
  }
}
