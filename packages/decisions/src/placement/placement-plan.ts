/**
 * Plans the placements of one tick. A task that fits nowhere is passed over, and so are the others of the
 * same shape, so that neither holds up tasks that fit.
 */
import { TaskType } from '@figjunction/types';
import type { DecisionInput } from '@figjunction/types';
import type {
  Placement,
  PlacementInputs,
  PlacementPlan,
  PlacementTask,
  WaitingTask,
} from './placement-types.js';
import { subtractResources } from '../room/resource-arithmetic.js';
import { TeamLedger, groupByClass, nextTeam } from './team-order.js';
import type { ClassQueue } from './team-order.js';
import { SpreadCounts, chooseVm, dataCentreKey, rackKey } from './vm-choice.js';
import type { ScoredVm, VmDraft } from './vm-choice.js';

const DEFAULT_PLACEMENTS_MAXIMUM = 64;
/** Reasons are kept for this many waiting tasks per tick; the others wait for the same reasons. */
const WAITING_MAXIMUM = 64;

/** The state of one plan while it is made. */
interface PlanDraft {
  inputs: PlacementInputs;
  vms: VmDraft[];
  spread: SpreadCounts;
  ledger: TeamLedger;
  /** Reasons by shape of the tasks that found no VM in this tick. */
  unplaceable: Map<string, string>;
  placements: Placement[];
  waiting: WaitingTask[];
}

export function planPlacements(inputs: PlacementInputs): PlacementPlan {
  const draft: PlanDraft = {
    inputs,
    vms: inputs.vms.map((vm) => ({
      vm,
      free: vm.free,
      kinds: new Map(vm.kinds),
      startsAllowed: vm.startsAllowed,
      kindStarts: new Map(vm.kindStarts),
    })),
    spread: countSpread(inputs),
    ledger: new TeamLedger(inputs.teams),
    unplaceable: new Map(),
    placements: [],
    waiting: [],
  };
  for (const group of groupByClass(inputs.tasks)) {
    planClass(draft, group);
  }
  return { placements: draft.placements, waiting: draft.waiting };
}

function countSpread({ vms }: PlacementInputs): SpreadCounts {
  const spread = new SpreadCounts();
  for (const vm of vms) {
    for (const [kind, count] of vm.kinds) {
      spread.add(kind, rackKey(vm.location), count);
      spread.add(kind, dataCentreKey(vm.location), count);
    }
  }
  return spread;
}

function planClass(draft: PlanDraft, group: ClassQueue): void {
  const { placementsMaximum = DEFAULT_PLACEMENTS_MAXIMUM } = draft.inputs;
  const positions = new Map<string, number>();
  let team = nextTeam(group, draft.ledger);
  while (team !== null && draft.placements.length < placementsMaximum) {
    const queue = group.queues.get(team) ?? [];
    const position = placeFirst(draft, queue, positions.get(team) ?? 0);
    positions.set(team, position);
    if (position >= queue.length) {
      group.queues.delete(team);
    }
    team = nextTeam(group, draft.ledger);
  }
}

/** Places the first task of a team's queue that can be placed; returns the position after it. */
function placeFirst(draft: PlanDraft, queue: PlacementTask[], start: number): number {
  for (let position = start; position < queue.length; position += 1) {
    const task = queue[position];
    if (task !== undefined && planTask(draft, task)) {
      return position + 1;
    }
  }
  return queue.length;
}

/** Returns whether the task was placed. */
function planTask(draft: PlanDraft, task: PlacementTask): boolean {
  const refusal = draft.ledger.refusal(task) ?? draft.unplaceable.get(shapeOf(task)) ?? null;
  if (refusal !== null) {
    wait(draft, task, refusal);
    return false;
  }
  const { weights, random, interference = () => 0 } = draft.inputs;
  const { chosen, rejected } = chooseVm({
    task,
    drafts: draft.vms,
    spread: draft.spread,
    weights,
    interference,
    random,
  });
  if (chosen === null) {
    const reason = summarize(rejected.map((alternative) => alternative.reason));
    draft.unplaceable.set(shapeOf(task), reason);
    wait(draft, task, reason);
    return false;
  }
  occupy(draft, task, chosen.draft);
  draft.placements.push({
    task,
    agentId: chosen.draft.vm.agentId,
    inputs: describeInputs(task, chosen),
    rejected,
  });
  return true;
}

function wait(draft: PlanDraft, task: PlacementTask, reason: string): void {
  if (draft.waiting.length < WAITING_MAXIMUM) {
    draft.waiting.push({ key: task.key, reason });
  }
}

function occupy(draft: PlanDraft, task: PlacementTask, vmDraft: VmDraft): void {
  const { location } = vmDraft.vm;
  // The agent admits tasks of unknown kinds only with room for the worst case, so others go elsewhere.
  vmDraft.free = subtractResources(vmDraft.free, task.worstCaseSize);
  vmDraft.kinds.set(task.kind, (vmDraft.kinds.get(task.kind) ?? 0) + 1);
  vmDraft.startsAllowed -= 1;
  const kindStarts = vmDraft.kindStarts.get(task.kind);
  if (kindStarts !== undefined) {
    vmDraft.kindStarts.set(task.kind, kindStarts - 1);
  }
  draft.ledger.charge(task);
  if (task.type === TaskType.Instance) {
    draft.spread.add(task.kind, rackKey(location));
    draft.spread.add(task.kind, dataCentreKey(location));
  }
}

/** Tasks of one shape find room on the same VMs. */
function shapeOf(task: PlacementTask): string {
  const { processorMillicores, memoryMegabytes, accelerators } = task.size;
  return [
    task.type,
    task.kind,
    processorMillicores,
    memoryMegabytes,
    accelerators,
    task.onlyVm,
  ].join('|');
}

function summarize(reasons: string[]): string {
  const distinct = [...new Set(reasons)];
  return distinct.length === 0 ? 'no VM is known' : `no VM can take it: ${distinct.join('; ')}`;
}

function describeInputs(task: PlacementTask, { draft, cost }: ScoredVm): DecisionInput[] {
  return [
    { name: 'processorMillicores', value: task.size.processorMillicores },
    { name: 'memoryMegabytes', value: task.size.memoryMegabytes },
    { name: 'accelerators', value: task.size.accelerators },
    { name: 'urgencyRank', value: task.urgencyRank },
    { name: 'cost', value: Number(cost.toFixed(3)) },
    { name: 'freeMillicoresAfter', value: draft.free.processorMillicores },
  ];
}
