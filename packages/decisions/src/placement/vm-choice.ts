/**
 * Chooses the VM for one task: those that are excluded, with the reasons, and a cost for each of the
 * others. The weights decide between packing tightly, which leaves large holes for large runs, and
 * keeping room around services, which protects their latency and avoids evictions.
 */
import type { RandomSource } from '@figjunction/time';
import { TaskType } from '@figjunction/types';
import type { KindName, RejectedAlternative, Resources } from '@figjunction/types';
import { dominantShare } from './dominant-share.js';
import type {
  AllowedVmNames,
  InterferenceEstimate,
  PlacementTask,
  PlacementVm,
  PlacementWeights,
} from './placement-types.js';
import { subtractResources, isWithinRoom, addResources } from '../room/resource-arithmetic.js';

/** A VM as the plan of one tick fills it. */
export interface VmDraft {
  vm: PlacementVm;
  free: Resources;
  kinds: Map<KindName, number>;
  startsAllowed: number;
  kindStarts: Map<KindName, number>;
}

/** Instances of each service by rack and by data centre, counted over the fleet. */
export class SpreadCounts {
  private readonly counts = new Map<string, number>();

  add(service: KindName, place: string, amount = 1): void {
    const key = `${service}\n${place}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + amount);
  }

  count(service: KindName, place: string): number {
    return this.counts.get(`${service}\n${place}`) ?? 0;
  }
}

export interface VmChoiceInputs {
  task: PlacementTask;
  drafts: VmDraft[];
  spread: SpreadCounts;
  weights: PlacementWeights;
  interference: InterferenceEstimate;
  random: RandomSource;
}

export interface ScoredVm {
  draft: VmDraft;
  cost: number;
}

export interface VmChoice {
  chosen: ScoredVm | null;
  rejected: RejectedAlternative[];
}

/** Scoring every VM for every task costs too much in a large fleet; a random sample is as good. */
const SCORED_VMS_MAXIMUM = 48;
const REJECTED_MAXIMUM = 6;
const SAME_VM_COST = 8;
const SAME_RACK_COST = 2;
const SAME_DATA_CENTRE_COST = 1;
const FAILED_BEFORE_COST = 10;
/** Lets entries with the same stale view choose different VMs among nearly equal ones. */
const RANDOM_COST = 0.05;

export function rackKey({ region, dataCentre, rack }: PlacementVm['location']): string {
  return `rack ${region}/${dataCentre}/${rack}`;
}

export function dataCentreKey({ region, dataCentre }: PlacementVm['location']): string {
  return `data centre ${region}/${dataCentre}`;
}

export function isAllowed(allowed: AllowedVmNames, vm: PlacementVm): boolean {
  const contains = (names: string[], name: string): boolean =>
    names.length === 0 || names.includes(name);
  return (
    contains(allowed.dataCentres, vm.location.dataCentre) &&
    contains(allowed.racks, vm.location.rack) &&
    contains(allowed.vms, vm.agentId)
  );
}

/** Why a VM cannot take a task now; null when it can. */
function exclusionReason(task: PlacementTask, draft: VmDraft): string | null {
  const { vm } = draft;
  if (task.onlyVm !== null && task.onlyVm !== vm.agentId) {
    return 'the approved proposal names another VM';
  }
  if (!isAllowed(task.allowed, vm)) {
    return 'the configuration does not allow it';
  }
  if (draft.startsAllowed <= 0) {
    return vm.limitReason ?? 'it takes no further starts now';
  }
  if ((draft.kindStarts.get(task.kind) ?? Number.POSITIVE_INFINITY) <= 0) {
    return 'the kind just failed on it';
  }
  if (task.instancesPerVm !== null && (draft.kinds.get(task.kind) ?? 0) >= task.instancesPerVm) {
    return 'it has as many instances of the service as allowed';
  }
  return isWithinRoom(task.size, draft.free) ? null : 'it has not enough room';
}

function spreadCost(task: PlacementTask, draft: VmDraft, spread: SpreadCounts): number {
  if (task.type !== TaskType.Instance) {
    return 0;
  }
  const { location } = draft.vm;
  return (
    SAME_VM_COST * (draft.kinds.get(task.kind) ?? 0) +
    SAME_RACK_COST * spread.count(task.kind, rackKey(location)) +
    SAME_DATA_CENTRE_COST * spread.count(task.kind, dataCentreKey(location))
  );
}

function loadCost(task: PlacementTask, draft: VmDraft, weights: PlacementWeights): number {
  const { capacity } = draft.vm;
  const usedAfter = addResources(subtractResources(capacity, draft.free), task.size);
  const load = dominantShare(usedAfter, capacity);
  const headroom = draft.vm.hostsService ? weights.tailLatency + weights.evictions : 0;
  return headroom * load - weights.throughput * load;
}

function costOf(inputs: VmChoiceInputs, draft: VmDraft): number {
  const { task, spread, weights, interference, random } = inputs;
  const sensitivity =
    draft.vm.hostsService || task.type === TaskType.Instance
      ? weights.tailLatency + weights.evictions
      : weights.throughput;
  const failures = task.failedOn.filter((agentId) => agentId === draft.vm.agentId).length;
  return (
    spreadCost(task, draft, spread) +
    loadCost(task, draft, weights) +
    sensitivity * interference(task, draft.vm) +
    failures * FAILED_BEFORE_COST +
    random.fraction() * RANDOM_COST
  );
}

/** Takes a random sample of the VMs; a small fleet is taken whole. */
function sample(drafts: VmDraft[], random: RandomSource): VmDraft[] {
  if (drafts.length <= SCORED_VMS_MAXIMUM) {
    return drafts;
  }
  const start = random.below(drafts.length);
  const step = Math.floor(drafts.length / SCORED_VMS_MAXIMUM);
  return Array.from(
    { length: SCORED_VMS_MAXIMUM },
    (_, index) => drafts[(start + index * step) % drafts.length] as VmDraft,
  );
}

export function chooseVm(inputs: VmChoiceInputs): VmChoice {
  const excluded: RejectedAlternative[] = [];
  const fitting: VmDraft[] = [];
  for (const draft of inputs.drafts) {
    const reason = exclusionReason(inputs.task, draft);
    if (reason === null) {
      fitting.push(draft);
    } else if (excluded.length < REJECTED_MAXIMUM) {
      excluded.push({ option: draft.vm.agentId, reason });
    }
  }
  const scored = sample(fitting, inputs.random)
    .map((draft) => ({ draft, cost: costOf(inputs, draft) }))
    .sort((left, right) => left.cost - right.cost);
  const runnersUp = scored.slice(1, REJECTED_MAXIMUM).map(({ draft, cost }) => ({
    option: draft.vm.agentId,
    reason: `its cost ${cost.toFixed(2)} is higher`,
  }));
  return { chosen: scored[0] ?? null, rejected: [...runnersUp, ...excluded] };
}
