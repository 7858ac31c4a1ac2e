/**
 * Assigns waiting tasks to VMs, in order of rank.
 */
import type { Instant } from '@figjunction/time';
import type { CellState } from './cell-state.js';
import { placeStep } from './place-step.js';
import type { PlacementResult } from './place-step.js';
import { rankSteps } from './rank.js';
import type { StepRecord } from './records.js';
import { needsTrial } from './trials.js';
import { UnmetDemands } from './unmet-demands.js';

/** Limits the duration of a tick when very many steps wait. */
const STEPS_PER_TICK_MAXIMUM = 400;

/** Creates a run for each waiting task that fits on a VM. The scheduler sends the start orders afterwards. */
export function placeTasks(state: CellState, now: Instant): PlacementResult {
  const result: PlacementResult = { started: [], unplaced: [] };
  const unmetDemands = new UnmetDemands(state);
  let areClaimsObserved = false;
  for (const { step } of rankSteps(state, now).slice(0, STEPS_PER_TICK_MAXIMUM)) {
    if (step.specification.longRunning && !areClaimsObserved) {
      // After the batch steps that come first, so that their new runs count.
      state.batchClaims.observe(state, now);
      areClaimsObserved = true;
    }
    const isRuledOut = unmetDemands.rulesOut(step) && !step.tasks.some(needsTrial);
    if (!mayRunOnUnreportedVms(state, step) && !isRuledOut) {
      placeStep({ state, step, unmetDemands, now, result });
    }
  }
  if (!areClaimsObserved) {
    state.batchClaims.observe(state, now);
  }
  return result;
}

/** True when a VM that has not reported to this scheduler yet may still run tasks of the occurrence. */
function mayRunOnUnreportedVms({ unreportedVms }: CellState, { occurrence }: StepRecord): boolean {
  return unreportedVms.size > 0 && [...occurrence.storedVms].some((id) => unreportedVms.has(id));
}
