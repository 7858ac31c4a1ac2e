/**
 * What this entry learns from the measurements in heartbeats: sizes of kinds, and how much kinds slow down
 * the services beside them.
 */
import {
  createEstimateTable,
  createInterferenceTable,
  estimateSize,
  isKindKnown,
  predictSlowdown,
  recordUsage,
  recordVmUsage,
} from '@figjunction/decisions';
import type { BatchShare, PlacementTask, PlacementVm } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { TaskType } from '@figjunction/types';
import type { AgentId, KindName, Resources, TaskUsage } from '@figjunction/types';
import type { KnownAgent } from '../agent-directory.js';
import type { EntryContext } from '../entry-context.js';
import type { SizeEstimates } from './scope-sizes.js';

/** As long as an agent holds back small moves at most. */
const STANDS_FOR_MS = 10_000;

interface LearntUsage {
  usage: TaskUsage[];
  text: string;
  /** When the measurement arrived first. */
  since: Instant;
  lastHeard: Instant;
}

export class TaskLearning implements SizeEstimates {
  private readonly estimates = createEstimateTable();

  private readonly interference = createInterferenceTable();

  /** The measurement of each VM that was learnt last; a full heartbeat may repeat it. */
  private readonly learnt = new Map<AgentId, LearntUsage>();

  constructor(private readonly entry: EntryContext) {}

  /** Learns from the measurements that are new since the last run. */
  run(): void {
    const agents = this.entry.agents.all();
    for (const agent of agents) {
      this.learnIfNew(agent);
    }
    this.forgetAbsent(agents);
  }

  /** The size to count for a task: the larger of declared and learnt while little is known. */
  sizeOf(kind: KindName, declared: Resources): Resources {
    return this.entry.settings.policy.learning
      ? estimateSize(this.estimates, kind, declared)
      : declared;
  }

  isLearning(): boolean {
    return this.entry.settings.policy.learning;
  }

  isKnown(kind: KindName): boolean {
    return this.isLearning() && isKindKnown(this.estimates, kind);
  }

  /** Expected slowdown minus one that placing the task on the VM adds to services, or suffers as one. */
  slowdownFrom(task: PlacementTask, vm: PlacementVm): number {
    const usage = this.entry.agents.get(vm.agentId)?.usage ?? [];
    const processors = Math.max(1, vm.capacity.processorMillicores);
    const batch = usage
      .filter(({ slowdown }) => slowdown === null)
      .map(({ kind, used }) => ({ kind, share: used.processorMillicores / processors }));
    const load = usage.reduce((sum, { used }) => sum + used.processorMillicores, 0) / processors;
    const added = task.size.processorMillicores / processors;
    if (task.type === TaskType.Instance) {
      return this.predict(task.kind, batch, load + added) - 1;
    }
    const services = usage.filter(({ slowdown }) => slowdown !== null).map(({ kind }) => kind);
    const withTask = [...batch, { kind: task.kind, share: added }];
    const increases = [...new Set(services)].map(
      (service) =>
        this.predict(service, withTask, load + added) - this.predict(service, batch, load),
    );
    return Math.max(0, ...increases);
  }

  private predict(service: KindName, batch: BatchShare[], load: number): number {
    return predictSlowdown(this.interference, service, batch, load);
  }

  /**
   * Agents measure each second and announce only moves beyond a step, so an announced measurement stands for
   * those that follow it: interference corrects a part of its error with each one. An agent that still
   * measures announces again within `STANDS_FOR_MS`; after that, nothing is learnt from an old one.
   */
  private learnIfNew(agent: KnownAgent): void {
    const { agentId, usage, lastHeard } = agent;
    const last = this.learnt.get(agentId);
    if (usage.length === 0) {
      return;
    }
    // A heartbeat without the section keeps the same array, which needs no comparison of its content.
    const text = last?.usage === usage ? last.text : JSON.stringify(usage);
    const isRepeated = last?.text === text;
    const since = isRepeated ? last.since : lastHeard;
    if (isRepeated && (lastHeard === last.lastHeard || lastHeard - since >= STANDS_FOR_MS)) {
      return;
    }
    this.learnt.set(agentId, { usage, text, since, lastHeard });
    this.learn(agent);
  }

  private learn({ usage, capacity, lastHeard }: KnownAgent): void {
    for (const { taskId, kind, used } of usage) {
      recordUsage(this.estimates, { taskId, kind, used, measuredAt: lastHeard });
    }
    const services = usage.filter((one: TaskUsage) => one.slowdown !== null);
    if (services.length > 0) {
      recordVmUsage(this.interference, capacity, usage);
    }
  }

  private forgetAbsent(agents: KnownAgent[]): void {
    const present = new Set(agents.map(({ agentId }) => agentId));
    for (const agentId of this.learnt.keys()) {
      if (!present.has(agentId)) {
        this.learnt.delete(agentId);
      }
    }
  }
}
