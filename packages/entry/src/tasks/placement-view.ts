/**
 * Builds the tables over which placement runs, from rows, heartbeats and reservations in progress.
 */
import type { OperatorConfiguration } from '@figjunction/config';
import {
  DECLARED_SIZE_ERROR_MAXIMUM,
  PossibleFit,
  maximumOfResources,
  minimumOfResources,
  possibleFit,
  scaleResources,
} from '@figjunction/decisions';
import type {
  AllowedVmNames,
  PlacementTask,
  PlacementTeam,
  PlacementVm,
} from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { AgentState, PlacementMode, TaskState, TaskType } from '@figjunction/types';
import type { KindName, Resources, TaskRow } from '@figjunction/types';
import type { KnownAgent } from '../agent-directory.js';
import { scopeOf } from './task-context.js';
import type { TaskContext } from './task-context.js';
import type { TaskEntry } from './task-table.js';

/** What is learnt about the sizes of kinds. */
export interface SizeEstimates {
  /** The size to count for a task of the kind; wider than declared while little is known. */
  sizeOf(kind: KindName, declared: Resources): Resources;
  /** Whether enough was measured to trust the size. */
  isKnown(kind: KindName): boolean;
  /** False when declared sizes are taken as they are. */
  isLearning(): boolean;
}

/** The declared size; the configuration in force overrides the row's. */
export function declaredSizeOf(
  configuration: OperatorConfiguration,
  row: Pick<TaskRow, 'type' | 'kind' | 'declaredSize'>,
): Resources {
  return scopeOf(configuration, row)?.size ?? row.declaredSize;
}

/**
 * The size to reserve. While a kind is not known its estimate is only a caution, which must not make a task
 * impossible that fits as declared: it is cut to the largest VM on which the declared size fits.
 */
export function sizeToReserve(
  declared: Resources,
  estimate: Resources,
  allowed: AllowedVmNames,
  vms: PlacementVm[],
): Resources {
  if (possibleFit(estimate, allowed, vms) !== PossibleFit.TooLarge) {
    return estimate;
  }
  const largest = vms
    .filter((vm) => possibleFit(declared, allowed, [vm]) === PossibleFit.Possible)
    .sort((left, right) => right.capacity.processorMillicores - left.capacity.processorMillicores);
  return largest[0] === undefined ? estimate : minimumOfResources(estimate, largest[0].capacity);
}

function sizeFor(
  { type, kind }: TaskRow,
  declared: Resources,
  estimates: SizeEstimates,
  allowed: AllowedVmNames,
  vms: PlacementVm[],
): Resources {
  if (type === TaskType.Instance) {
    // The agent counts an instance as declared or measured; its room is reserved for load to come.
    return declared;
  }
  const estimate = estimates.sizeOf(kind, declared);
  return estimates.isKnown(kind) ? estimate : sizeToReserve(declared, estimate, allowed, vms);
}

function worstCaseFor(
  { type, kind }: TaskRow,
  declared: Resources,
  size: Resources,
  estimates: SizeEstimates,
): Resources {
  if (type === TaskType.Instance || estimates.isKnown(kind) || !estimates.isLearning()) {
    return size;
  }
  const worst = scaleResources(declared, DECLARED_SIZE_ERROR_MAXIMUM);
  return maximumOfResources(size, { ...worst, accelerators: declared.accelerators });
}

export function placementTask(
  configuration: OperatorConfiguration,
  { key, value }: TaskEntry,
  estimates: SizeEstimates,
  vms: PlacementVm[],
  onlyVm: string | null,
): PlacementTask | null {
  const scope = scopeOf(configuration, value);
  if (scope === undefined) {
    return null;
  }
  const declared = declaredSizeOf(configuration, value);
  const size = sizeFor(value, declared, estimates, scope.allowed, vms);
  const urgencyClass = configuration.urgencyClasses.find(({ name }) => name === value.urgency);
  return {
    key,
    type: value.type,
    team: value.team,
    kind: value.kind,
    urgencyRank: urgencyClass?.rank ?? Number.MAX_SAFE_INTEGER,
    size,
    worstCaseSize: worstCaseFor(value, declared, size, estimates),
    isSizeKnown: estimates.isKnown(value.kind),
    allowed: scope.allowed,
    failedOn: value.failedOn,
    order: value.submittedAtMs,
    instancesPerVm: 'instancesPerVm' in scope ? scope.instancesPerVm : null,
    onlyVm,
  };
}

export function placementTeams(
  context: TaskContext,
  configuration: OperatorConfiguration,
): PlacementTeam[] {
  const reserved = new Map<string, { tasks: number; millicores: number }>();
  for (const { key, team, size } of context.reservations.all()) {
    const isPending = context.store.rows.get(key)?.value.state === TaskState.Pending;
    if (isPending && context.store.isBusy(key)) {
      const sum = reserved.get(team) ?? { tasks: 0, millicores: 0 };
      reserved.set(team, {
        tasks: sum.tasks + 1,
        millicores: sum.millicores + size.processorMillicores,
      });
    }
  }
  return configuration.teams.map((team) => {
    const usage = context.store.rows.usageOf(team.name);
    return {
      name: team.name,
      weight: team.weight,
      runningTasks: usage.runningTasks + (reserved.get(team.name)?.tasks ?? 0),
      runningTasksMaximum: team.runningTasks,
      processorMillicores: usage.processorMillicores + (reserved.get(team.name)?.millicores ?? 0),
      processorMillicoresMaximum: team.processorMillicores,
    };
  });
}

/** All agents as VMs; those that take no starts now are limited with the reason. */
export function placementVms(context: TaskContext, now: Instant): PlacementVm[] {
  return context.entry.agents.all().map((agent) => placementVm(context, agent, now));
}

function placementVm(context: TaskContext, agent: KnownAgent, now: Instant): PlacementVm {
  const limit = startLimit(context, agent, now);
  return {
    agentId: agent.agentId,
    location: agent.location,
    capacity: agent.capacity,
    free: context.reservations.freeOf(agent),
    kinds: countKinds(context, agent),
    hostsService: agent.instances.length > 0,
    startsAllowed: limit.starts,
    limitReason: limit.reason,
    kindStarts: kindStarts(context, agent, now),
  };
}

function kindStarts(context: TaskContext, agent: KnownAgent, now: Instant): Map<KindName, number> {
  const starts = context.entry.settings.policy.quarantine
    ? context.failures.kindStarts(agent.agentId, now)
    : new Map<KindName, number>();
  for (const kind of context.refusals.refusedKinds(agent, now)) {
    starts.set(kind, 0);
  }
  return starts;
}

function startLimit(
  context: TaskContext,
  agent: KnownAgent,
  now: Instant,
): { starts: number; reason: string | null } {
  const { policy } = context.entry.settings;
  if (agent.state !== AgentState.Serving) {
    return { starts: 0, reason: `it is ${agent.state}` };
  }
  if (!agent.confirmed) {
    return { starts: 0, reason: 'it has not confirmed the configuration' };
  }
  if (context.reservations.isAwaited(agent.agentId)) {
    return { starts: 0, reason: 'it has not answered the last reservation' };
  }
  if (policy.placementMode === PlacementMode.Pull && !agent.wantsWork) {
    return { starts: 0, reason: 'it does not ask for work' };
  }
  return policy.quarantine
    ? context.failures.allowance(agent.agentId, now)
    : { starts: Number.POSITIVE_INFINITY, reason: null };
}

/** Kinds on a VM: what its rows say, what its heartbeat measures, and what is being placed on it. */
function countKinds(context: TaskContext, agent: KnownAgent): Map<KindName, number> {
  const kindOf = new Map<string, KindName>();
  for (const { taskId, kind } of agent.usage) {
    kindOf.set(taskId, kind);
  }
  for (const { taskId, service } of agent.instances) {
    kindOf.set(taskId, service);
  }
  for (const { value } of context.store.rows.heldBy(agent.agentId)) {
    kindOf.set(value.taskId, value.kind);
  }
  for (const { key, kind } of context.reservations.ofAgent(agent.agentId)) {
    // Once the claim is settled, the row alone tells whether the task is on the VM.
    if (context.store.isBusy(key)) {
      kindOf.set(key.slice(key.lastIndexOf('/') + 1), kind);
    }
  }
  const counts = new Map<KindName, number>();
  for (const kind of kindOf.values()) {
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
  }
  return counts;
}
