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
import { TaskType } from '@figjunction/types';
import type { Instant } from '@figjunction/time';
import type { AgentId, KindName, Resources, TaskUsage } from '@figjunction/types';
import type { KnownAgent } from '../agent-directory.js';
import type { EntryContext } from '../entry-context.js';
import type { SizeEstimates } from './scope-sizes.js';

export class TaskLearning implements SizeEstimates {
  private readonly estimates = createEstimateTable();

  private readonly interference = createInterferenceTable();

  /** The measurement of each VM that was learnt last; a heartbeat may repeat it. */
  private readonly learnt = new Map<AgentId, string>();

  /** When each agent was heard by the last run; comparing its usage again would only cost time. */
  private readonly heard = new Map<AgentId, Instant>();

  constructor(private readonly entry: EntryContext) {}

  /** Learns from the measurements that are new since the last run. */
  run(): void {
    const agents = this.entry.agents.all();
    const isNew = ({ agentId, lastHeard }: KnownAgent) => this.heard.get(agentId) !== lastHeard;
    for (const agent of agents.filter(isNew)) {
      this.heard.set(agent.agentId, agent.lastHeard);
      const usage = JSON.stringify(agent.usage);
      if (agent.usage.length > 0 && this.learnt.get(agent.agentId) !== usage) {
        this.learnt.set(agent.agentId, usage);
        this.learn(agent);
      }
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
    for (const agentId of this.heard.keys()) {
      if (!present.has(agentId)) {
        this.learnt.delete(agentId);
        this.heard.delete(agentId);
      }
    }
  }
}
