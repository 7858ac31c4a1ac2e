/**
 * Plans the placements of one tick. A task that fits on no VM is skipped together with all others of the
 * same shape, so that it does not block tasks that fit.
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
import { subtractResources } from '../capacity/resource-arithmetic.js';
import { TeamUsageTracker, groupByUrgencyClass, selectNextTeam } from './team-order.js';
import type { UrgencyClassQueues } from './team-order.js';
import { SpreadCounts, chooseVm, buildDataCentreKey, buildRackKey } from './vm-choice.js';
import type { ScoredVm, VmPlanState } from './vm-choice.js';

const DEFAULT_PLACEMENTS_MAXIMUM = 64;
/** Reasons are reported for this many waiting tasks per tick; the others wait for the same reasons. */
const WAITING_MAXIMUM = 64;

/** Mutable state while a plan is computed. */
interface PlanState {
  inputs: PlacementInputs;
  vms: VmPlanState[];
  spread: SpreadCounts;
  teamUsage: TeamUsageTracker;
  /** Why no VM accepted a task of a shape in this tick, by shape key. */
  reasonsByShape: Map<string, string>;
  placements: Placement[];
  waiting: WaitingTask[];
}

/** Plans at most `placementsMaximum` placements (default 64), most urgent class first. */
export function planPlacements(inputs: PlacementInputs): PlacementPlan {
  const state: PlanState = {
    inputs,
    vms: inputs.vms.map((vm) => ({
      vm,
      free: vm.free,
      taskCountsByKind: new Map(vm.taskCountsByKind),
      startsAllowed: vm.startsAllowed,
      startsAllowedByKind: new Map(vm.startsAllowedByKind),
    })),
    spread: countSpread(inputs),
    teamUsage: new TeamUsageTracker(inputs.teams),
    reasonsByShape: new Map(),
    placements: [],
    waiting: [],
  };
  for (const group of groupByUrgencyClass(inputs.tasks)) {
    planUrgencyClass(state, group);
  }
  return { placements: state.placements, waiting: state.waiting };
}

function countSpread({ vms }: PlacementInputs): SpreadCounts {
  const spread = new SpreadCounts();
  for (const vm of vms) {
    for (const [kind, count] of vm.taskCountsByKind) {
      spread.add(kind, buildRackKey(vm.location), count);
      spread.add(kind, buildDataCentreKey(vm.location), count);
    }
  }
  return spread;
}

function planUrgencyClass(state: PlanState, group: UrgencyClassQueues): void {
  const { placementsMaximum = DEFAULT_PLACEMENTS_MAXIMUM } = state.inputs;
  const positions = new Map<string, number>();
  let team = selectNextTeam(group, state.teamUsage);
  while (team !== null && state.placements.length < placementsMaximum) {
    const queue = group.queues.get(team) ?? [];
    const position = placeFirstFitting(state, queue, positions.get(team) ?? 0);
    positions.set(team, position);
    if (position >= queue.length) {
      group.queues.delete(team);
    }
    team = selectNextTeam(group, state.teamUsage);
  }
}

/** Places the first task of the queue, from `start`, that can be placed; returns the position after it. */
function placeFirstFitting(state: PlanState, queue: PlacementTask[], start: number): number {
  for (let position = start; position < queue.length; position += 1) {
    const task = queue[position];
    if (task !== undefined && tryPlaceTask(state, task)) {
      return position + 1;
    }
  }
  return queue.length;
}

/** Returns whether the task was placed; if not, records the reason. */
function tryPlaceTask(state: PlanState, task: PlacementTask): boolean {
  const refusal =
    state.teamUsage.findRefusal(task) ?? state.reasonsByShape.get(getShapeKey(task)) ?? null;
  if (refusal !== null) {
    recordWaiting(state, task, refusal);
    return false;
  }
  const { weights, random, interference = () => 0 } = state.inputs;
  const { chosen, rejected } = chooseVm({
    task,
    vmStates: state.vms,
    spread: state.spread,
    weights,
    interference,
    random,
  });
  if (chosen === null) {
    const reason = summarizeReasons(rejected.map((alternative) => alternative.reason));
    state.reasonsByShape.set(getShapeKey(task), reason);
    recordWaiting(state, task, reason);
    return false;
  }
  applyPlacement(state, task, chosen.vmState);
  state.placements.push({
    task,
    agentId: chosen.vmState.vm.agentId,
    inputs: buildDecisionInputs(task, chosen),
    rejected,
  });
  return true;
}

function recordWaiting(state: PlanState, task: PlacementTask, reason: string): void {
  if (state.waiting.length < WAITING_MAXIMUM) {
    state.waiting.push({ key: task.key, reason });
  }
}

function applyPlacement(state: PlanState, task: PlacementTask, vmState: VmPlanState): void {
  const { location } = vmState.vm;
  // An agent admits a task of unknown size only if the worst case fits. Reserving the worst case here
  // spreads such tasks over VMs instead of offering one VM more than its agent admits.
  vmState.free = subtractResources(vmState.free, task.worstCaseSize);
  vmState.taskCountsByKind.set(task.kind, (vmState.taskCountsByKind.get(task.kind) ?? 0) + 1);
  vmState.startsAllowed -= 1;
  const kindStartsAllowed = vmState.startsAllowedByKind.get(task.kind);
  if (kindStartsAllowed !== undefined) {
    vmState.startsAllowedByKind.set(task.kind, kindStartsAllowed - 1);
  }
  state.teamUsage.add(task);
  if (task.type === TaskType.Instance) {
    state.spread.add(task.kind, buildRackKey(location));
    state.spread.add(task.kind, buildDataCentreKey(location));
  }
}

/** Tasks with the same key fit on the same VMs. */
function getShapeKey(task: PlacementTask): string {
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

function summarizeReasons(reasons: string[]): string {
  const distinct = [...new Set(reasons)];
  return distinct.length === 0
    ? 'no VM is known'
    : `no VM accepts the task: ${distinct.join('; ')}`;
}

function buildDecisionInputs(task: PlacementTask, { vmState, cost }: ScoredVm): DecisionInput[] {
  return [
    { name: 'processorMillicores', value: task.size.processorMillicores },
    { name: 'memoryMegabytes', value: task.size.memoryMegabytes },
    { name: 'accelerators', value: task.size.accelerators },
    { name: 'urgencyRank', value: task.urgencyRank },
    { name: 'cost', value: Number(cost.toFixed(3)) },
    { name: 'freeMillicoresAfter', value: vmState.free.processorMillicores },
  ];
}
