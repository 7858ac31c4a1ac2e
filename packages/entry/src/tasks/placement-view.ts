/**
 * Builds the tables over which placement runs, from rows, heartbeats and reservations in progress.
 */
import type { OperatorConfiguration } from '@figjunction/config';
import type { PlacementTask, PlacementTeam, PlacementVm } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { AgentState, PlacementMode, TaskState } from '@figjunction/types';
import type { KindName } from '@figjunction/types';
import type { KnownAgent } from '../agent-directory.js';
import type { ScopeSizes } from './scope-sizes.js';
import type { TaskContext } from './task-context.js';
import type { TaskEntry } from './task-table.js';

export function placementTask(
  configuration: OperatorConfiguration,
  { key, value }: TaskEntry,
  sizes: ScopeSizes,
  onlyVm: string | null,
): PlacementTask | null {
  const scopeSize = sizes.get(value);
  if (scopeSize === null) {
    return null;
  }
  const { scope, size, worstCaseSize, isSizeKnown } = scopeSize;
  const urgencyClass = configuration.urgencyClasses.find(({ name }) => name === value.urgency);
  return {
    key,
    type: value.type,
    team: value.team,
    kind: value.kind,
    urgencyRank: urgencyClass?.rank ?? Number.MAX_SAFE_INTEGER,
    size,
    worstCaseSize,
    isSizeKnown,
    allowed: scope.allowed,
    failedOn: value.failedOn,
    submissionOrder: value.submittedAtMs,
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
    free: context.reservations.freeCapacityOf(agent),
    taskCountsByKind: countKinds(context, agent),
    hasServiceInstances: agent.instances.length > 0,
    startsAllowed: limit.starts,
    limitReason: limit.reason,
    startsAllowedByKind: kindStarts(context, agent, now),
  };
}

function kindStarts(context: TaskContext, agent: KnownAgent, now: Instant): Map<KindName, number> {
  const starts = context.entry.settings.policy.quarantine
    ? context.failures.getStartsAllowedByKind(agent.agentId, now)
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
  if (context.reservations.hasCallInProgress(agent.agentId)) {
    return { starts: 0, reason: 'it has not answered the last reservation' };
  }
  if (policy.placementMode === PlacementMode.Pull && !agent.wantsWork) {
    return { starts: 0, reason: 'it does not ask for work' };
  }
  return policy.quarantine
    ? context.failures.getStartAllowance(agent.agentId, now)
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
