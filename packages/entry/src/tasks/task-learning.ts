/**
 * Learns from the measurements in heartbeats: the sizes of kinds, and how much kinds slow down services on
 * the same VM.
 */
import {
  createEstimateTable,
  createInterferenceTable,
  estimateSize,
  isKindSizeKnown,
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

/** Longest time for which an agent leaves out small changes of usage. */
const MEASUREMENT_VALID_MS = 10_000;

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

  /** The last measurement learnt from each VM; a full heartbeat may repeat it. */
  private readonly learnt = new Map<AgentId, LearntUsage>();

  constructor(private readonly entry: EntryContext) {}

  /** Learns from the measurements that arrived since the last run. */
  run(): void {
    const agents = this.entry.agents.all();
    for (const agent of agents) {
      this.learnIfNew(agent);
    }
    this.removeAbsentAgents(agents);
  }

  /** The size to count for a task: the larger of declared and learnt size while there are few measurements. */
  sizeOf(kind: KindName, declared: Resources): Resources {
    return this.entry.settings.policy.learning
      ? estimateSize(this.estimates, kind, declared)
      : declared;
  }

  isLearning(): boolean {
    return this.entry.settings.policy.learning;
  }

  isKnown(kind: KindName): boolean {
    return this.isLearning() && isKindSizeKnown(this.estimates, kind);
  }

  /**
   * Predicted slowdown minus one, as a fraction: the increase for the VM's services when a batch task is
   * placed there, or the slowdown of the instance itself when an instance is placed there.
   */
  predictAddedSlowdown(task: PlacementTask, vm: PlacementVm): number {
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
   * Agents measure each second but send only changes beyond a threshold, so a sent measurement also represents
   * the following ones: the interference estimate corrects a part of its error with each. An agent that still
   * measures sends again within `MEASUREMENT_VALID_MS`; older measurements are ignored.
   */
  private learnIfNew(agent: KnownAgent): void {
    const { agentId, usage, lastHeartbeatAt: lastHeard } = agent;
    const last = this.learnt.get(agentId);
    if (usage.length === 0) {
      return;
    }
    // A heartbeat without usage keeps the previous array, so its content needs no comparison.
    const text = last?.usage === usage ? last.text : JSON.stringify(usage);
    const isRepeated = last?.text === text;
    const since = isRepeated ? last.since : lastHeard;
    if (isRepeated && (lastHeard === last.lastHeard || lastHeard - since >= MEASUREMENT_VALID_MS)) {
      return;
    }
    this.learnt.set(agentId, { usage, text, since, lastHeard });
    this.learn(agent);
  }

  private learn({ usage, capacity, lastHeartbeatAt: lastHeard }: KnownAgent): void {
    for (const { taskId, kind, used } of usage) {
      recordUsage(this.estimates, { taskId, kind, used, measuredAt: lastHeard });
    }
    const services = usage.filter((one: TaskUsage) => one.slowdown !== null);
    if (services.length > 0) {
      recordVmUsage(this.interference, capacity, usage);
    }
  }

  private removeAbsentAgents(agents: KnownAgent[]): void {
    const present = new Set(agents.map(({ agentId }) => agentId));
    for (const agentId of this.learnt.keys()) {
      if (!present.has(agentId)) {
        this.learnt.delete(agentId);
      }
    }
  }
}
