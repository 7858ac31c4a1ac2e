/**
 * Gives throttled work its processors back when services were calm for long enough: the kinds that slow
 * services down least for what they lose come first, and only as far as the services are expected to stay
 * below the bound at which the guards act.
 */
import { kindsCheapestFirst } from './guard-cost.js';
import { GuardActionKind } from './guard-types.js';
import type { GuardAction, GuardCandidate, GuardInput, GuardState } from './guard-types.js';

/** One step at most doubles a throttle, because the effect of a task is known only roughly. */
const RELAX_FACTOR = 2;

/** Smaller steps are not worth a call to the worker. */
const SMALLEST_STEP = 0.02;

/**
 * Cuts and relaxations aim at this part of the slowdown below which the guards relax, so that the error of
 * measurements (3 % in the fake worker) neither ends the calm nor provokes the next cut.
 */
const AIM_FRACTION = 0.8;

export function targetSlowdown({ relaxBelowSlowdown }: GuardInput['settings']): number {
  return 1 + AIM_FRACTION * (relaxBelowSlowdown - 1);
}

export function relaxWhenCalm(
  state: GuardState,
  input: GuardInput,
  slowdown: number,
): GuardAction[] {
  const { settings, measurement, candidates } = input;
  const throttled = candidates.filter(({ throttle }) => throttle < 1);
  const isCalm =
    state.calmSince !== null && measurement.measuredAt - state.calmSince >= settings.relaxAfterMs;
  if (!isCalm || throttled.length + state.kindRestraints.size === 0) {
    return [];
  }
  // Each step back needs a calm time of its own.
  state.calmSince = measurement.measuredAt;
  const actions = planRelaxation(input, slowdown);
  relaxKinds(state, input, actions);
  return actions;
}

function planRelaxation({ candidates, settings }: GuardInput, slowdown: number): GuardAction[] {
  const present = candidates.reduce((sum, task) => sum + task.effect * task.throttle, 0);
  // Slowdown that one unit of effect causes, by this measurement.
  const scale = present === 0 ? 0 : Math.max(0, slowdown - 1) / present;
  let headroom = targetSlowdown(settings) - slowdown;
  const actions: GuardAction[] = [];
  for (const tasks of kindsCheapestFirst(candidates).reverse()) {
    const wanted = tasks.map(({ throttle }) => Math.min(1, throttle * RELAX_FACTOR) - throttle);
    const cost = tasks.reduce((sum, task, at) => sum + scale * task.effect * (wanted[at] ?? 0), 0);
    const fraction = cost === 0 ? 1 : Math.min(1, Math.max(0, headroom) / cost);
    headroom -= cost * fraction;
    actions.push(...raiseAlike(tasks, wanted, fraction));
  }
  return actions;
}

function raiseAlike(
  tasks: readonly GuardCandidate[],
  wanted: readonly number[],
  fraction: number,
): GuardAction[] {
  return tasks.flatMap(({ taskId, throttle }, at) => {
    const step = fraction * (wanted[at] ?? 0);
    const isWorthwhile = step >= SMALLEST_STEP || (step > 0 && throttle + step === 1);
    return !isWorthwhile
      ? []
      : [{ kind: GuardActionKind.Relax, taskId, throttle: throttle + step }];
  });
}

/** A kind with tasks here starts new ones as its most restrained task goes on. */
function relaxKinds(
  state: GuardState,
  { candidates }: GuardInput,
  actions: readonly GuardAction[],
): void {
  const raised = new Map(actions.map(({ taskId, throttle }) => [taskId, throttle]));
  for (const [kind, { throttle, tasksMaximum }] of state.kindRestraints) {
    const tasks = candidates.filter((task) => task.kind === kind);
    const next =
      tasks.length === 0
        ? throttle * RELAX_FACTOR
        : Math.min(...tasks.map((task) => raised.get(task.taskId) ?? task.throttle));
    // More tasks cost the services as much as faster ones, so a partial step admits none.
    const isFullStep = next >= throttle * RELAX_FACTOR;
    if (next >= 1) {
      state.kindRestraints.delete(kind);
    } else {
      state.kindRestraints.set(kind, {
        throttle: next,
        tasksMaximum: isFullStep ? tasksMaximum * RELAX_FACTOR : tasksMaximum,
      });
    }
  }
}
