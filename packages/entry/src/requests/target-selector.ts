/**
 * Chooses the instance for an attempt from the agents that announced themselves, and records why.
 */
import {
  Distance,
  chooseLeastConnections,
  chooseTarget,
  distanceOf,
  explainRejected,
  weightOf,
} from '@figjunction/decisions';
import type { RoutingCandidate, RoutingQuestion } from '@figjunction/decisions';
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

export interface TargetQuestion {
  requestId: RequestId;
  team: TeamName;
  service: ServiceName;
  deadline: Instant;
  bodyBytes: number;
  /** Instances not to choose again while there are others. */
  avoid: Set<TaskId>;
}

export interface ChosenTarget {
  agent: AgentAddress;
  taskId: TaskId;
}

/** Round trip between regions and its variation. */
const OTHER_REGION_EXTRA_MS = 30;

export class TargetSelector {
  /** Incarnations that have ended although no heartbeat of the next one came yet. */
  private readonly ended = new Map<AgentId, AgentIncarnation>();

  constructor(
    private readonly context: EntryContext,
    private readonly stats: InstanceStatsTable,
    private readonly link: RegionLink,
  ) {}

  /** An agent answered that it is another incarnation: the known one gets no more attempts. */
  noteEnded({ agentId, incarnation }: AgentAddress): void {
    this.ended.set(agentId, Math.max(incarnation, this.ended.get(agentId) ?? 0));
  }

  /** Slots of all instances of a service that are known. */
  slotsOf(service: ServiceName): number {
    return this.instancesOf(service).reduce((sum, { instance }) => sum + instance.slots, 0);
  }

  choose(question: TargetQuestion): ChosenTarget | null {
    const known = this.instancesOf(question.service);
    const fresh = known.filter(({ instance }) => !question.avoid.has(instance.taskId));
    const pool = fresh.length > 0 ? fresh : known;
    const routing: RoutingQuestion = {
      from: this.context.settings.location,
      candidates: pool.map((one) => this.candidateOf(one)),
      otherRegionAllowed: this.mayLeaveRegion(question),
    };
    const chosen = this.context.settings.policy.routing
      ? chooseTarget(routing, this.context.random)
      : chooseLeastConnections(routing.candidates);
    if (chosen === null) {
      return null;
    }
    this.explain(question, routing, chosen);
    return this.targetOf(pool, chosen);
  }

  /** Takes failing instances out of the rotation. */
  ejectOutliers(): void {
    if (!this.context.settings.policy.routing) {
      return;
    }
    const services = this.context.configuration.current()?.configuration.services ?? [];
    for (const { name } of services) {
      const known = this.context.agents.instancesOf(name);
      const taskIds = known.map(({ instance }) => instance.taskId);
      for (const ejection of this.stats.eject(taskIds, name)) {
        this.explainEjection(known, ejection);
      }
    }
    const all = this.context.agents.all().flatMap(({ instances }) => instances);
    this.stats.retain(new Set(all.map(({ taskId }) => taskId)));
  }

  private instancesOf(service: ServiceName): KnownInstance[] {
    return this.context.agents
      .instancesOf(service)
      .filter(({ agent }) => agent.incarnation > (this.ended.get(agent.agentId) ?? 0));
  }

  private candidateOf({ agent, instance }: KnownInstance): RoutingCandidate {
    const row = this.stats.of(instance.taskId, instance.service);
    return {
      agentId: agent.agentId,
      taskId: instance.taskId,
      location: agent.location,
      slots: instance.slots,
      outstanding: this.stats.load(row),
      latencyMs: this.stats.recentLatencyMs(row),
      weight: weightOf(row.health, this.context.clock.now()),
    };
  }

  private mayLeaveRegion(question: TargetQuestion): boolean {
    const usualMs = this.stats.service(question.service).latencies.percentile(95) ?? 0;
    const leftMs = remainingMs(this.context.clock, question.deadline);
    return leftMs > usualMs + OTHER_REGION_EXTRA_MS && this.link.hasRoom(question.bodyBytes);
  }

  private targetOf(pool: KnownInstance[], chosen: RoutingCandidate): ChosenTarget | null {
    const found = pool.find(({ instance }) => instance.taskId === chosen.taskId);
    if (found === undefined) {
      return null;
    }
    const { agentId, incarnation, address, location } = found.agent;
    if (distanceOf(this.context.settings.location, location) === Distance.OtherRegion) {
      this.link.watchAddress(address);
    }
    return { agent: { agentId, incarnation, address }, taskId: chosen.taskId };
  }

  private explain(
    question: TargetQuestion,
    routing: RoutingQuestion,
    chosen: RoutingCandidate,
  ): void {
    recordDecision(this.context, {
      subject: ExplainSubject.Request,
      subjectId: question.requestId,
      kind: DecisionKind.Route,
      decision: `sent to ${chosen.taskId} on ${chosen.agentId}`,
      inputs: [
        { name: 'outstanding', value: chosen.outstanding },
        { name: 'slots', value: chosen.slots },
        { name: 'latencyMs', value: chosen.latencyMs ?? 'unknown' },
        { name: 'distance', value: Distance[distanceOf(routing.from, chosen.location)] },
        { name: 'otherRegionAllowed', value: routing.otherRegionAllowed },
      ],
      rejected: explainRejected(routing, chosen),
      team: question.team,
    });
  }

  private explainEjection(
    known: KnownInstance[],
    ejection: ReturnType<InstanceStatsTable['eject']>[number],
  ): void {
    const found = known.find(({ instance }) => instance.taskId === ejection.taskId);
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
