/**
 * The agents that announced themselves to this entry. Everything here is a hint: the agent decides.
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
import { isOlder, mergeHeartbeat } from './heartbeat-merge.js';

/** An agent that was silent for this long is dropped; invariant 7 allows 5 s. */
export const AGENT_SILENT_MS = 3_500;

export interface KnownAgent extends AgentReport {
  lastHeard: Instant;
}

export interface KnownInstance {
  agent: KnownAgent;
  instance: InstanceReport;
}

export class AgentDirectory {
  private readonly agents = new Map<AgentId, KnownAgent>();

  /** Takes a heartbeat that continues the state held here, or a full one, unless a newer one was seen. */
  receive(heartbeat: HeartbeatParameters, now: Instant): HeartbeatReception {
    const held = this.agents.get(heartbeat.agentId);
    const { reception, report } = mergeHeartbeat(held, heartbeat);
    if (report !== null) {
      this.accept(report, now);
    }
    return reception;
  }

  /** Takes a whole state unless a newer one of the agent was seen. Returns whether it was taken. */
  accept(report: AgentReport, now: Instant): boolean {
    const held = this.agents.get(report.agentId);
    if (held !== undefined && isOlder(report, held)) {
      return false;
    }
    this.agents.set(report.agentId, { ...report, lastHeard: now });
    return true;
  }

  get(agentId: AgentId): KnownAgent | undefined {
    return this.agents.get(agentId);
  }

  all(): KnownAgent[] {
    return [...this.agents.values()];
  }

  /** Agents that may be given new work. */
  serving(): KnownAgent[] {
    return this.all().filter((agent) => agent.state === AgentState.Serving);
  }

  instancesOf(service: ServiceName): KnownInstance[] {
    return this.serving().flatMap((agent) =>
      agent.instances
        .filter((instance) => instance.service === service && instance.ready)
        .map((instance) => ({ agent, instance })),
    );
  }

  remove(agentId: AgentId): void {
    this.agents.delete(agentId);
  }

  /** Drops the agents that were silent too long and returns them. */
  dropSilent(now: Instant): KnownAgent[] {
    const silent = this.all().filter((agent) => now - agent.lastHeard > AGENT_SILENT_MS);
    for (const agent of silent) {
      this.agents.delete(agent.agentId);
    }
    return silent;
  }
}
