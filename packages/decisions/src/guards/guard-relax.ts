/**
 * Relaxes throttles after a stable period. Kinds with the highest cost per effect are relaxed first, and
 * only as far as the slowdown of the services is expected to stay below the bound at which the guards act.
 */
import { groupByKindCheapestFirst } from './guard-cost.js';
import { GuardActionKind } from './guard-types.js';
import type { GuardAction, GuardCandidate, GuardInput, GuardState } from './guard-types.js';

/** One step at most doubles a throttle, because the effect of a task is known only approximately. */
const RELAX_FACTOR = 2;

/** Smaller steps do not justify a call to the worker. */
const MINIMUM_THROTTLE_STEP = 0.02;

/**
 * Cuts and relaxations aim for this fraction of the excess slowdown at which the guards relax. The margin
 * keeps measurement errors (3 % in the fake worker) from ending the stable period or causing another cut.
 */
const SLOWDOWN_GOAL_FRACTION = 0.8;

/** The slowdown that cuts and relaxations aim for; 1 means none. */
export function calculateSlowdownGoal({ relaxBelowSlowdown }: GuardInput['settings']): number {
  return 1 + SLOWDOWN_GOAL_FRACTION * (relaxBelowSlowdown - 1);
}

/** Returns the relaxing actions; empty until the stable period has lasted `relaxAfterMs`. */
export function relaxAfterStablePeriod(
  state: GuardState,
  input: GuardInput,
  slowdown: number,
): GuardAction[] {
  const { settings, measurement, candidates } = input;
  const throttled = candidates.filter(({ throttle }) => throttle < 1);
  const isStable =
    state.stableSince !== null &&
    measurement.measuredAt - state.stableSince >= settings.relaxAfterMs;
  if (!isStable || throttled.length + state.kindLimits.size === 0) {
    return [];
  }
  // Each step requires a new stable period.
  state.stableSince = measurement.measuredAt;
  const actions = planRelaxation(input, slowdown);
  relaxKindLimits(state, input, actions);
  return actions;
}

function planRelaxation({ candidates, settings }: GuardInput, slowdown: number): GuardAction[] {
  const currentEffect = candidates.reduce((sum, task) => sum + task.effect * task.throttle, 0);
  // Slowdown per unit of effect according to this measurement.
  const slowdownPerEffect = currentEffect === 0 ? 0 : Math.max(0, slowdown - 1) / currentEffect;
  let headroom = calculateSlowdownGoal(settings) - slowdown;
  const actions: GuardAction[] = [];
  for (const tasks of groupByKindCheapestFirst(candidates).reverse()) {
    const fullSteps = tasks.map(({ throttle }) => Math.min(1, throttle * RELAX_FACTOR) - throttle);
    const addedSlowdown = tasks.reduce(
      (sum, task, index) => sum + slowdownPerEffect * task.effect * (fullSteps[index] ?? 0),
      0,
    );
    const fraction = addedSlowdown === 0 ? 1 : Math.min(1, Math.max(0, headroom) / addedSlowdown);
    headroom -= addedSlowdown * fraction;
    actions.push(...raiseThrottlesEvenly(tasks, fullSteps, fraction));
  }
  return actions;
}

function raiseThrottlesEvenly(
  tasks: readonly GuardCandidate[],
  fullSteps: readonly number[],
  fraction: number,
): GuardAction[] {
  return tasks.flatMap(({ taskId, throttle }, index) => {
    const step = fraction * (fullSteps[index] ?? 0);
    const isWorthwhile = step >= MINIMUM_THROTTLE_STEP || (step > 0 && throttle + step === 1);
    return !isWorthwhile
      ? []
      : [{ kind: GuardActionKind.Relax, taskId, throttle: throttle + step }];
  });
}

/** Raises the limits of each kind: to the lowest throttle of its tasks, or by a full step if it has none. */
function relaxKindLimits(
  state: GuardState,
  { candidates }: GuardInput,
  actions: readonly GuardAction[],
): void {
  const newThrottles = new Map(actions.map(({ taskId, throttle }) => [taskId, throttle]));
  for (const [kind, { throttle, tasksMaximum }] of state.kindLimits) {
    const tasks = candidates.filter((task) => task.kind === kind);
    const next =
      tasks.length === 0
        ? throttle * RELAX_FACTOR
        : Math.min(...tasks.map((task) => newThrottles.get(task.taskId) ?? task.throttle));
    // More tasks slow services down as much as faster ones, so a partial step admits no more tasks.
    const isFullStep = next >= throttle * RELAX_FACTOR;
    if (next >= 1) {
      state.kindLimits.delete(kind);
    } else {
      state.kindLimits.set(kind, {
        throttle: next,
        tasksMaximum: isFullStep ? tasksMaximum * RELAX_FACTOR : tasksMaximum,
      });
    }
  }
}
