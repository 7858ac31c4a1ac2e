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
import { chooseEviction } from './guard-evictions.js';

/** A task that is throttled this far gains the services nothing more. */
export const GUARD_THROTTLE_FLOOR = 0.2;

/** A throttle is never set for a smaller cut than this fraction. */
const SMALLEST_CUT = 0.05;

const RELAX_FACTOR = 2;

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
    return { ...restrain(state, input, worst.slowdown), worst };
  }
  return { actions: relaxWhenCalm(state, input), worst, rejected: [] };
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
 * The excess slowdown is taken as proportional to the processors that batch work uses; cheapest tasks are
 * cut first until the expected slowdown is below the bound.
 */
function planThrottleCut(input: GuardInput, slowdown: number): GuardAction[] {
  const { candidates, settings } = input;
  const target = (settings.actAboveSlowdown + settings.relaxBelowSlowdown) / 2;
  const fraction = Math.min(1, Math.max(0, (slowdown - target) / (slowdown - 1)));
  const used = candidates.reduce((sum, task) => sum + processorsOf(task), 0);
  let toCut = used * fraction;
  const actions: GuardAction[] = [];
  for (const task of cheapestFirst(candidates)) {
    const possible = Math.max(0, task.throttle - GUARD_THROTTLE_FLOOR) * task.processorMillicores;
    const cut = Math.min(possible, toCut);
    if (cut > 0 && cut >= SMALLEST_CUT * task.processorMillicores) {
      toCut -= cut;
      const throttle = task.throttle - cut / task.processorMillicores;
      actions.push({ kind: GuardActionKind.Throttle, taskId: task.taskId, throttle });
    }
  }
  return actions;
}

function relaxWhenCalm(state: GuardState, input: GuardInput): GuardAction[] {
  const { settings, measurement, candidates } = input;
  const throttled = candidates.filter(({ throttle }) => throttle < 1);
  const isCalm =
    state.calmSince !== null && measurement.measuredAt - state.calmSince >= settings.relaxAfterMs;
  if (!isCalm || throttled.length === 0) {
    return [];
  }
  // Each step back needs a calm time of its own.
  state.calmSince = measurement.measuredAt;
  return throttled.map(({ taskId, throttle }) => ({
    kind: GuardActionKind.Relax,
    taskId,
    throttle: Math.min(1, throttle * RELAX_FACTOR),
  }));
}

export function cheapestFirst(candidates: readonly GuardCandidate[]): GuardCandidate[] {
  return [...candidates].sort((left, right) => left.lossCost - right.lossCost);
}

function processorsOf({ processorMillicores, throttle }: GuardCandidate): number {
  return processorMillicores * throttle;
}
