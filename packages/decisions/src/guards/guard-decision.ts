/**
 * Protects services from the batch work beside them: throttle, then checkpoint and move, then stop, the
 * work that is cheapest to lose first. Measurements lag, so one that was taken before the last action took
 * effect is no reason to act again.
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
import { kindsCheapestFirst } from './guard-cost.js';
import { chooseEviction } from './guard-evictions.js';
import { relaxWhenCalm, targetSlowdown } from './guard-relax.js';

/** A task that is throttled this far gains the services nothing more. Moving noisy work costs evictions. */
export const GUARD_THROTTLE_FLOOR = 0.05;

/** A throttle is never set for a smaller cut than this fraction. */
const SMALLEST_CUT = 0.05;

/** Decides on a new measurement and notes it in the state. */
export function decideGuards(state: GuardState, input: GuardInput): GuardDecision {
  const { settings, measurement } = input;
  const worst = worstOf(measurement);
  const isNew = measurement.measuredAt > Math.max(state.lastMeasuredAt, state.lastEffectAt);
  if (!settings.enabled || !isNew || worst === null) {
    return { actions: [], worst, rejected: [] };
  }
  state.lastMeasuredAt = measurement.measuredAt;
  noteSlowdown(state, input, worst.slowdown);
  if (state.slowMeasurements >= settings.measurementsToAct) {
    state.slowMeasurements = 0;
    const restrained = restrain(state, input, worst.slowdown);
    noteKindRestraints(state, input, restrained.actions);
    return { ...restrained, worst };
  }
  return { actions: relaxWhenCalm(state, input, worst.slowdown), worst, rejected: [] };
}

/** Notes when the actions of a decision were carried out. */
export function noteGuardEffect(
  state: GuardState,
  actions: readonly GuardAction[],
  at: number,
): void {
  if (actions.length === 0) {
    return;
  }
  state.lastEffectAt = at;
  const evictions = actions.filter(
    ({ kind }) => kind === GuardActionKind.Move || kind === GuardActionKind.Stop,
  );
  state.evictionTimes.push(...evictions.map(() => at));
}

function worstOf(measurement: GuardMeasurement): GuardDecision['worst'] {
  const sorted = [...measurement.services].sort((left, right) => right.slowdown - left.slowdown);
  return sorted[0] ?? null;
}

function noteSlowdown(
  state: GuardState,
  { settings, measurement }: GuardInput,
  worst: number,
): void {
  state.slowMeasurements = worst > settings.actAboveSlowdown ? state.slowMeasurements + 1 : 0;
  if (worst >= settings.relaxBelowSlowdown) {
    state.calmSince = null;
  } else {
    state.calmSince ??= measurement.measuredAt;
  }
}

function restrain(
  state: GuardState,
  input: GuardInput,
  slowdown: number,
): Pick<GuardDecision, 'actions' | 'rejected'> {
  const throttles = planThrottleCut(input, slowdown);
  if (throttles.length > 0) {
    const reason = 'tasks can still be throttled';
    return { actions: throttles, rejected: [{ option: 'evict a task', reason }] };
  }
  const option = 'throttle further';
  const reason = 'every batch task is at the lowest throttle';
  const { action, rejected } = chooseEviction(state, input);
  return {
    actions: action === null ? [] : [action],
    rejected: [{ option, reason }, ...rejected],
  };
}

/**
 * The excess slowdown is shared out among the tasks in proportion to their effects. Kinds that cost least
 * for their effect are cut first until the expected slowdown is below the bound. All tasks of a kind are
 * cut alike: when single tasks bear the whole cut, they stand still for as long as others fill the VM.
 */
function planThrottleCut(input: GuardInput, slowdown: number): GuardAction[] {
  const { candidates, settings } = input;
  const excess = (slowdown - targetSlowdown(settings)) / (slowdown - 1);
  const fraction = Math.min(1, Math.max(0, excess));
  const effect = candidates.reduce((sum, task) => sum + task.effect * task.throttle, 0);
  let toCut = effect * fraction;
  const actions: GuardAction[] = [];
  for (const tasks of kindsCheapestFirst(candidates)) {
    const possible = tasks.reduce((sum, task) => sum + possibleCut(task), 0);
    const total = tasks.reduce((sum, task) => sum + task.effect, 0);
    const cut = Math.min(possible, toCut);
    if (cut > 0 && cut >= SMALLEST_CUT * total) {
      toCut -= cut;
      actions.push(...cutAlike(tasks, cut / possible));
    }
  }
  return actions;
}

function possibleCut({ throttle, effect }: GuardCandidate): number {
  return Math.max(0, throttle - GUARD_THROTTLE_FLOOR) * effect;
}

function cutAlike(tasks: readonly GuardCandidate[], fraction: number): GuardAction[] {
  return tasks
    .filter((task) => possibleCut(task) > 0)
    .map(({ taskId, throttle }) => ({
      kind: GuardActionKind.Throttle,
      taskId,
      throttle: throttle - fraction * (throttle - GUARD_THROTTLE_FLOOR),
    }));
}

/** New tasks of a kind start as its most restrained task goes on. */
function noteKindRestraints(
  state: GuardState,
  { candidates }: GuardInput,
  actions: readonly GuardAction[],
): void {
  const throttles = new Map(
    actions
      .filter(({ kind }) => kind === GuardActionKind.Throttle)
      .map(({ taskId, throttle }) => [taskId, throttle]),
  );
  for (const tasks of kindsCheapestFirst(candidates)) {
    const set = tasks.flatMap(({ taskId }) => throttles.get(taskId) ?? []);
    const kind = tasks[0]?.kind;
    if (kind !== undefined && set.length > 0) {
      const throttle = Math.min(...set, state.kindRestraints.get(kind)?.throttle ?? 1);
      state.kindRestraints.set(kind, { throttle, tasksMaximum: tasks.length });
    }
  }
}
