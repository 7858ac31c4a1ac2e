/**
 * Assigns waiting tasks to VMs, in order of rank. Searches for VMs take time, so one pass makes a limited number of
 * them. Steps that fit nowhere stay at the head of the order for any time; so some of the searches go to the steps
 * that have waited longest for one.
 */
import type { Instant } from '@figjunction/time';
import { needsAdvice } from './advice.js';
import type { CellState } from './cell-state.js';
import { placeStep } from './place-step.js';
import type { PlacementResult } from './place-step.js';
import { rankSteps } from './rank.js';
import type { StepRecord } from './records.js';
import { needsTrial } from './trials.js';
import { UnmetDemands } from './unmet-demands.js';

/** Searches of one pass for the steps that rank first. */
const RANKED_SEARCHES_MAXIMUM = 300;
/** Searches of one pass for those of the other steps that have waited longest for one. */
const OVERDUE_SEARCHES_MAXIMUM = 100;

class PlacementPass {
  readonly result: PlacementResult = { started: [], unplaced: [], lackingAdvice: [] };

  private readonly unmetDemands: UnmetDemands;

  private areClaimsObserved = false;

  constructor(
    private readonly state: CellState,
    private readonly now: Instant,
  ) {
    this.unmetDemands = new UnmetDemands(state);
  }

  /** Returns the steps that are left after so many searches. */
  placeSteps(steps: StepRecord[], searchesMaximum: number): StepRecord[] {
    let searches = 0;
    for (const [index, step] of steps.entries()) {
      if (searches === searchesMaximum) {
        return steps.slice(index);
      }
      if (this.mayFit(step)) {
        searches += 1;
        this.search(step);
      }
    }
    return [];
  }

  /** Does so once. Long-running steps call for it, so that the batch runs which come before them count. */
  observeClaims(): void {
    if (!this.areClaimsObserved) {
      this.areClaimsObserved = true;
      this.state.batchClaims.observe(this.state, this.now);
    }
  }

  private mayFit(step: StepRecord): boolean {
    const isRuledOut = this.unmetDemands.rulesOut(step) && !step.tasks.some(needsTrial);
    return !isRuledOut && !mayRunOnUnreportedVms(this.state, step);
  }

  private search(step: StepRecord): void {
    const { state, now, unmetDemands, result } = this;
    if (step.specification.longRunning) {
      this.observeClaims();
    }
    step.searchedAt = now;
    placeStep({ state, step, unmetDemands, now, result });
    if (step.waiting.size > 0 && needsAdvice(state, step)) {
      result.lackingAdvice.push(step);
    }
  }
}

/** Creates a run for each waiting task that fits on a VM. The scheduler sends the start orders afterwards. */
export function placeTasks(state: CellState, now: Instant): PlacementResult {
  const pass = new PlacementPass(state, now);
  const steps = rankSteps(state, now).map(({ step }) => step);
  const others = pass.placeSteps(steps, RANKED_SEARCHES_MAXIMUM);
  others.sort((left, right) => left.searchedAt - right.searchedAt);
  pass.placeSteps(others, OVERDUE_SEARCHES_MAXIMUM);
  pass.observeClaims();
  return pass.result;
}

/** True when a VM that has not reported to this scheduler yet may still run tasks of the occurrence. */
function mayRunOnUnreportedVms({ unreportedVms }: CellState, { occurrence }: StepRecord): boolean {
  return unreportedVms.size > 0 && [...occurrence.storedVms].some((id) => unreportedVms.has(id));
}
