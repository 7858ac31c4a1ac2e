/**
 * Chooses the VM for one task: filters out VMs that cannot run it, then scores the others by cost.
 * The weights balance tight packing, which keeps large blocks of capacity free for large tasks, against
 * headroom next to services, which protects their latency and avoids evictions.
 */
import type { RandomSource } from '@figjunction/time';
import { TaskType } from '@figjunction/types';
import type { KindName, RejectedAlternative, Resources } from '@figjunction/types';
import { computeDominantShare } from './dominant-share.js';
import type {
  VmConstraints,
  InterferenceEstimator,
  PlacementTask,
  PlacementVm,
  PlacementWeights,
} from './placement-types.js';
import {
  subtractResources,
  isWithinCapacity,
  addResources,
} from '../capacity/resource-arithmetic.js';

/** What remains of a VM after the placements planned so far in this tick. */
export interface VmPlanState {
  vm: PlacementVm;
  free: Resources;
  taskCountsByKind: Map<KindName, number>;
  startsAllowed: number;
  startsAllowedByKind: Map<KindName, number>;
}

/** Number of instances of each service per failure domain (rack or data centre) in the whole fleet. */
export class SpreadCounts {
  private readonly counts = new Map<string, number>();

  add(service: KindName, domain: string, amount = 1): void {
    const key = `${service}\n${domain}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + amount);
  }

  count(service: KindName, domain: string): number {
    return this.counts.get(`${service}\n${domain}`) ?? 0;
  }
}

export interface VmChoiceInputs {
  task: PlacementTask;
  vmStates: VmPlanState[];
  spread: SpreadCounts;
  weights: PlacementWeights;
  interference: InterferenceEstimator;
  random: RandomSource;
}

export interface ScoredVm {
  vmState: VmPlanState;
  cost: number;
}

export interface VmChoice {
  chosen: ScoredVm | null;
  rejected: RejectedAlternative[];
}

/** Scoring every VM for every task is too expensive in a large fleet; a random sample is good enough. */
const SCORED_VMS_MAXIMUM = 48;
/** Limit of excluded VMs in a decision record; runners-up are limited to one fewer. */
const REJECTED_MAXIMUM = 6;
const COST_PER_INSTANCE_ON_VM = 8;
const COST_PER_INSTANCE_IN_RACK = 2;
const COST_PER_INSTANCE_IN_DATA_CENTRE = 1;
const COST_PER_EARLIER_FAILURE = 10;
/** Random tie-breaker, so that entries with the same stale view choose different VMs of similar cost. */
const RANDOM_COST_MAXIMUM = 0.05;

export function buildRackKey({ region, dataCentre, rack }: PlacementVm['location']): string {
  return `rack ${region}/${dataCentre}/${rack}`;
}

export function buildDataCentreKey({ region, dataCentre }: PlacementVm['location']): string {
  return `data centre ${region}/${dataCentre}`;
}

export function satisfiesConstraints(constraints: VmConstraints, vm: PlacementVm): boolean {
  const contains = (names: string[], name: string): boolean =>
    names.length === 0 || names.includes(name);
  return (
    contains(constraints.dataCentres, vm.location.dataCentre) &&
    contains(constraints.racks, vm.location.rack) &&
    contains(constraints.vms, vm.agentId)
  );
}

/** Returns why a VM cannot run the task now, or null if it can. */
function findExclusionReason(task: PlacementTask, vmState: VmPlanState): string | null {
  const { vm } = vmState;
  if (task.onlyVm !== null && task.onlyVm !== vm.agentId) {
    return 'the approved proposal names another VM';
  }
  if (!satisfiesConstraints(task.allowed, vm)) {
    return 'the configuration does not allow it';
  }
  if (vmState.startsAllowed <= 0) {
    return vm.limitReason ?? 'it accepts no further starts at present';
  }
  if ((vmState.startsAllowedByKind.get(task.kind) ?? Number.POSITIVE_INFINITY) <= 0) {
    return 'tasks of this kind recently failed on it or were refused by it';
  }
  if (
    task.instancesPerVm !== null &&
    (vmState.taskCountsByKind.get(task.kind) ?? 0) >= task.instancesPerVm
  ) {
    return 'it already runs the maximum number of instances of the service';
  }
  return isWithinCapacity(task.size, vmState.free) ? null : 'it does not have enough free capacity';
}

function computeSpreadCost(
  task: PlacementTask,
  vmState: VmPlanState,
  spread: SpreadCounts,
): number {
  if (task.type !== TaskType.Instance) {
    return 0;
  }
  const { location } = vmState.vm;
  return (
    COST_PER_INSTANCE_ON_VM * (vmState.taskCountsByKind.get(task.kind) ?? 0) +
    COST_PER_INSTANCE_IN_RACK * spread.count(task.kind, buildRackKey(location)) +
    COST_PER_INSTANCE_IN_DATA_CENTRE * spread.count(task.kind, buildDataCentreKey(location))
  );
}

function computeLoadCost(
  task: PlacementTask,
  vmState: VmPlanState,
  weights: PlacementWeights,
): number {
  const { capacity } = vmState.vm;
  const usedAfter = addResources(subtractResources(capacity, vmState.free), task.size);
  const load = computeDominantShare(usedAfter, capacity);
  const headroomWeight = vmState.vm.hasServiceInstances
    ? weights.tailLatency + weights.evictions
    : 0;
  return headroomWeight * load - weights.throughput * load;
}

function computeCost(inputs: VmChoiceInputs, vmState: VmPlanState): number {
  const { task, spread, weights, interference, random } = inputs;
  const interferenceWeight =
    vmState.vm.hasServiceInstances || task.type === TaskType.Instance
      ? weights.tailLatency + weights.evictions
      : weights.throughput;
  const failures = task.failedOn.filter((agentId) => agentId === vmState.vm.agentId).length;
  return (
    computeSpreadCost(task, vmState, spread) +
    computeLoadCost(task, vmState, weights) +
    interferenceWeight * interference(task, vmState.vm) +
    failures * COST_PER_EARLIER_FAILURE +
    random.fraction() * RANDOM_COST_MAXIMUM
  );
}

/** Returns evenly spaced VMs from a random start, or all of them in a small fleet. */
function sampleVms(vmStates: VmPlanState[], random: RandomSource): VmPlanState[] {
  if (vmStates.length <= SCORED_VMS_MAXIMUM) {
    return vmStates;
  }
  const start = random.below(vmStates.length);
  const step = Math.floor(vmStates.length / SCORED_VMS_MAXIMUM);
  return Array.from(
    { length: SCORED_VMS_MAXIMUM },
    (_, index) => vmStates[(start + index * step) % vmStates.length] as VmPlanState,
  );
}

/** Chooses the VM with the lowest cost; `chosen` is null if every VM is excluded. */
export function chooseVm(inputs: VmChoiceInputs): VmChoice {
  const excluded: RejectedAlternative[] = [];
  const feasible: VmPlanState[] = [];
  for (const vmState of inputs.vmStates) {
    const reason = findExclusionReason(inputs.task, vmState);
    if (reason === null) {
      feasible.push(vmState);
    } else if (excluded.length < REJECTED_MAXIMUM) {
      excluded.push({ option: vmState.vm.agentId, reason });
    }
  }
  const scored = sampleVms(feasible, inputs.random)
    .map((vmState) => ({ vmState, cost: computeCost(inputs, vmState) }))
    .sort((left, right) => left.cost - right.cost);
  const runnersUp = scored.slice(1, REJECTED_MAXIMUM).map(({ vmState, cost }) => ({
    option: vmState.vm.agentId,
    reason: `its cost ${cost.toFixed(2)} is higher`,
  }));
  return { chosen: scored[0] ?? null, rejected: [...runnersUp, ...excluded] };
}
