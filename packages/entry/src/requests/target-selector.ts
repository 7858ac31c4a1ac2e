/**
 * Chooses the instance for an attempt among those that the agents announced, and records the decision.
 */
import {
  Distance,
  chooseLeastConnections,
  chooseTarget,
  getDistance,
  explainRejected,
  computeRoutingWeight,
} from '@figjunction/decisions';
import type { RoutingCandidate, RoutingInputs } from '@figjunction/decisions';
import { remainingMs } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import { DecisionKind, ExplainSubject } from '@figjunction/types';
import type {
  AgentId,
  AgentIncarnation,
  RequestId,
  ServiceName,
  TaskId,
  TeamName,
} from '@figjunction/types';
import type { KnownInstance } from '../agent-directory.js';
import type { EntryContext } from '../entry-context.js';
import type { AgentAddress } from './attempt.js';
import { recordDecision } from './decision-records.js';
import type { InstanceStatsTable } from './instance-stats.js';
import type { RegionLink } from './region-link.js';

/** Properties of the request that an instance is chosen for. */
export interface TargetCriteria {
  requestId: RequestId;
  team: TeamName;
  service: ServiceName;
  deadline: Instant;
  bodyBytes: number;
  /** Instances that are chosen only if there are no others. */
  avoidedTaskIds: Set<TaskId>;
}

export interface ChosenTarget {
  agent: AgentAddress;
  taskId: TaskId;
}

/** Allowance for the round trip between regions and its variation. */
const OTHER_REGION_LATENCY_MS = 30;

export class TargetSelector {
  /** Incarnations that have ended, while no heartbeat of the next one has arrived. */
  private readonly endedIncarnations = new Map<AgentId, AgentIncarnation>();

  constructor(
    private readonly context: EntryContext,
    private readonly stats: InstanceStatsTable,
    private readonly link: RegionLink,
  ) {}

  /** Excludes an incarnation from new attempts after its agent responded as another incarnation. */
  markIncarnationEnded({ agentId, incarnation }: AgentAddress): void {
    this.endedIncarnations.set(
      agentId,
      Math.max(incarnation, this.endedIncarnations.get(agentId) ?? 0),
    );
  }

  /** Number of slots of all known instances of a service. */
  countSlots(service: ServiceName): number {
    return this.listInstances(service).reduce((sum, { instance }) => sum + instance.slots, 0);
  }

  /** Returns null when the service has no instance that can be used. */
  choose(criteria: TargetCriteria): ChosenTarget | null {
    const instances = this.listInstances(criteria.service);
    const untried = instances.filter(
      ({ instance }) => !criteria.avoidedTaskIds.has(instance.taskId),
    );
    const eligible = untried.length > 0 ? untried : instances;
    const routing: RoutingInputs = {
      from: this.context.settings.location,
      candidates: eligible.map((instance) => this.createCandidate(instance)),
      otherRegionAllowed: this.isOtherRegionAllowed(criteria),
    };
    const chosen = this.context.settings.policy.routing
      ? chooseTarget(routing, this.context.random)
      : chooseLeastConnections(routing.candidates);
    if (chosen === null) {
      return null;
    }
    this.recordChoice(criteria, routing, chosen);
    return this.createChosenTarget(eligible, chosen);
  }

  /** Ejects failing instances of all services for a while. */
  ejectOutliers(): void {
    if (!this.context.settings.policy.routing) {
      return;
    }
    const services = this.context.configuration.current()?.configuration.services ?? [];
    for (const { name } of services) {
      const instances = this.context.agents.readyInstancesOf(name);
      const taskIds = instances.map(({ instance }) => instance.taskId);
      for (const ejection of this.stats.ejectOutliers(taskIds, name)) {
        this.recordEjection(instances, ejection);
      }
    }
    const allInstances = this.context.agents.all().flatMap(({ instances }) => instances);
    this.stats.deleteMissing(new Set(allInstances.map(({ taskId }) => taskId)));
  }

  private listInstances(service: ServiceName): KnownInstance[] {
    return this.context.agents
      .readyInstancesOf(service)
      .filter(({ agent }) => agent.incarnation > (this.endedIncarnations.get(agent.agentId) ?? 0));
  }

  private createCandidate({ agent, instance }: KnownInstance): RoutingCandidate {
    const row = this.stats.getOrCreate(instance.taskId, instance.service);
    return {
      agentId: agent.agentId,
      taskId: instance.taskId,
      location: agent.location,
      slots: instance.slots,
      outstanding: this.stats.getLoad(row),
      latencyMs: this.stats.getDecayedLatencyMs(row),
      weight: computeRoutingWeight(row.health, this.context.clock.now()),
    };
  }

  private isOtherRegionAllowed(criteria: TargetCriteria): boolean {
    const p95Ms = this.stats.getServiceStats(criteria.service).latencies.percentile(95) ?? 0;
    const leftMs = remainingMs(this.context.clock, criteria.deadline);
    return leftMs > p95Ms + OTHER_REGION_LATENCY_MS && this.link.hasCapacity(criteria.bodyBytes);
  }

  private createChosenTarget(
    eligible: KnownInstance[],
    chosen: RoutingCandidate,
  ): ChosenTarget | null {
    const found = eligible.find(({ instance }) => instance.taskId === chosen.taskId);
    if (found === undefined) {
      return null;
    }
    const { agentId, incarnation, address, location } = found.agent;
    if (getDistance(this.context.settings.location, location) === Distance.OtherRegion) {
      this.link.addRemoteAddress(address);
    }
    return { agent: { agentId, incarnation, address }, taskId: chosen.taskId };
  }

  private recordChoice(
    criteria: TargetCriteria,
    routing: RoutingInputs,
    chosen: RoutingCandidate,
  ): void {
    recordDecision(this.context, {
      subject: ExplainSubject.Request,
      subjectId: criteria.requestId,
      kind: DecisionKind.Route,
      decision: `sent to ${chosen.taskId} on ${chosen.agentId}`,
      inputs: [
        { name: 'outstanding', value: chosen.outstanding },
        { name: 'slots', value: chosen.slots },
        { name: 'latencyMs', value: chosen.latencyMs ?? 'unknown' },
        { name: 'distance', value: Distance[getDistance(routing.from, chosen.location)] },
        { name: 'otherRegionAllowed', value: routing.otherRegionAllowed },
      ],
      rejected: explainRejected(routing, chosen),
      team: criteria.team,
    });
  }

  private recordEjection(
    instances: KnownInstance[],
    ejection: ReturnType<InstanceStatsTable['ejectOutliers']>[number],
  ): void {
    const found = instances.find(({ instance }) => instance.taskId === ejection.taskId);
    this.context.metrics.count('ejections_total', { service: found?.instance.service ?? '' });
    recordDecision(this.context, {
      subject: ExplainSubject.Vm,
      subjectId: found?.agent.agentId ?? '',
      kind: DecisionKind.Eject,
      decision: `no requests to ${ejection.taskId} for ${ejection.durationMs} ms`,
      inputs: [
        { name: 'consecutiveFailures', value: ejection.consecutiveFailures },
        { name: 'attempts', value: ejection.attempts },
        { name: 'failures', value: ejection.failures },
      ],
      rejected: [],
      team: null,
    });
  }
}
