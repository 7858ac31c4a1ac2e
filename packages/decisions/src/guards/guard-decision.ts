/**
 * Protects services from interference by batch tasks on the same VM. Throttles tasks first, then moves
 * checkpointable tasks, then stops others; the tasks that are cheapest to lose come first. Measurements
 * lag, so those taken before the last action took effect are ignored.
 */
import { GuardActionKind } from './guard-types.js';
import type {
  GuardAction,
  GuardCandidate,
  GuardDecision,
  GuardInput,
  GuardMeasurement,
  GuardState,
} from './guard-types.js';
import { groupByKindCheapestFirst } from './guard-cost.js';
import { chooseEviction } from './guard-evictions.js';
import { relaxAfterStablePeriod, calculateSlowdownGoal } from './guard-relax.js';

/**
 * Lowest throttle that the guards set; throttling further does not help the services. It is this low
 * because the next step is an eviction.
 */
export const GUARD_THROTTLE_FLOOR = 0.05;

/** Cuts below this fraction of the total effect of a kind are skipped. */
const MINIMUM_CUT_FRACTION = 0.05;

/** Chooses the actions for a new measurement and updates the state with it. */
export function decideGuardActions(state: GuardState, input: GuardInput): GuardDecision {
  const { settings, measurement } = input;
  const worst = findSlowestService(measurement);
  const isNew =
    measurement.measuredAt > Math.max(state.lastMeasuredAt, state.lastActionEffectiveAt);
  if (!settings.enabled || !isNew || worst === null) {
    return { actions: [], worst, rejected: [] };
  }
  state.lastMeasuredAt = measurement.measuredAt;
  updateSlowdownHistory(state, input, worst.slowdown);
  if (state.consecutiveSlowMeasurements >= settings.measurementsToAct) {
    state.consecutiveSlowMeasurements = 0;
    const mitigation = planMitigation(state, input, worst.slowdown);
    updateKindLimits(state, input, mitigation.actions);
    return { ...mitigation, worst };
  }
  return { actions: relaxAfterStablePeriod(state, input, worst.slowdown), worst, rejected: [] };
}

/** Records when the actions of a decision took effect. */
export function recordGuardActions(
  state: GuardState,
  actions: readonly GuardAction[],
  at: number,
): void {
  if (actions.length === 0) {
    return;
  }
  state.lastActionEffectiveAt = at;
  const evictions = actions.filter(
    ({ kind }) => kind === GuardActionKind.Move || kind === GuardActionKind.Stop,
  );
  state.evictionTimes.push(...evictions.map(() => at));
}

function findSlowestService(measurement: GuardMeasurement): GuardDecision['worst'] {
  const sorted = [...measurement.services].sort((left, right) => right.slowdown - left.slowdown);
  return sorted[0] ?? null;
}

function updateSlowdownHistory(
  state: GuardState,
  { settings, measurement }: GuardInput,
  worst: number,
): void {
  state.consecutiveSlowMeasurements =
    worst > settings.actAboveSlowdown ? state.consecutiveSlowMeasurements + 1 : 0;
  if (worst >= settings.relaxBelowSlowdown) {
    state.stableSince = null;
  } else {
    state.stableSince ??= measurement.measuredAt;
  }
}

function planMitigation(
  state: GuardState,
  input: GuardInput,
  slowdown: number,
): Pick<GuardDecision, 'actions' | 'rejected'> {
  const throttles = planThrottleCut(input, slowdown);
  if (throttles.length > 0) {
    const reason = 'batch tasks can still be throttled further';
    return { actions: throttles, rejected: [{ option: 'evict a task', reason }] };
  }
  const option = 'throttle further';
  const reason = 'every batch task is already at the minimum throttle';
  const { action, rejected } = chooseEviction(state, input);
  return {
    actions: action === null ? [] : [action],
    rejected: [{ option, reason }, ...rejected],
  };
}

/**
 * Attributes the excess slowdown to the tasks in proportion to their effects. Throttles the kinds with the
 * lowest cost per effect first, until the expected slowdown reaches the goal. All tasks of a kind are
 * throttled evenly: if single tasks took the whole cut, they would make no progress while others use the VM.
 */
function planThrottleCut(input: GuardInput, slowdown: number): GuardAction[] {
  const { candidates, settings } = input;
  const excess = (slowdown - calculateSlowdownGoal(settings)) / (slowdown - 1);
  const fraction = Math.min(1, Math.max(0, excess));
  const totalEffect = candidates.reduce((sum, task) => sum + task.effect * task.throttle, 0);
  let remainingCut = totalEffect * fraction;
  const actions: GuardAction[] = [];
  for (const tasks of groupByKindCheapestFirst(candidates)) {
    const largestCut = tasks.reduce((sum, task) => sum + calculateLargestCut(task), 0);
    const kindEffect = tasks.reduce((sum, task) => sum + task.effect, 0);
    const cut = Math.min(largestCut, remainingCut);
    if (cut > 0 && cut >= MINIMUM_CUT_FRACTION * kindEffect) {
      remainingCut -= cut;
      actions.push(...lowerThrottlesEvenly(tasks, cut / largestCut));
    }
  }
  return actions;
}

function calculateLargestCut({ throttle, effect }: GuardCandidate): number {
  return Math.max(0, throttle - GUARD_THROTTLE_FLOOR) * effect;
}

function lowerThrottlesEvenly(tasks: readonly GuardCandidate[], fraction: number): GuardAction[] {
  return tasks
    .filter((task) => calculateLargestCut(task) > 0)
    .map(({ taskId, throttle }) => ({
      kind: GuardActionKind.Throttle,
      taskId,
      throttle: throttle - fraction * (throttle - GUARD_THROTTLE_FLOOR),
    }));
}

/** New tasks of a throttled kind start with the lowest throttle that its tasks were given. */
function updateKindLimits(
  state: GuardState,
  { candidates }: GuardInput,
  actions: readonly GuardAction[],
): void {
  const throttles = new Map(
    actions
      .filter(({ kind }) => kind === GuardActionKind.Throttle)
      .map(({ taskId, throttle }) => [taskId, throttle]),
  );
  for (const tasks of groupByKindCheapestFirst(candidates)) {
    const newThrottles = tasks.flatMap(({ taskId }) => throttles.get(taskId) ?? []);
    const kind = tasks[0]?.kind;
    if (kind !== undefined && newThrottles.length > 0) {
      const throttle = Math.min(...newThrottles, state.kindLimits.get(kind)?.throttle ?? 1);
      state.kindLimits.set(kind, { throttle, tasksMaximum: tasks.length });
    }
  }
}
