/**
 * The room that batch jobs claim by having used it a moment ago. Long-running tasks hold their room for good, while
 * the room of batch jobs is free for a moment whenever one of their tasks ends. Without a claim, long-running tasks
 * would take each such moment, until none of the room is left for batch jobs of the same urgency.
 */
import type { Instant } from '@figjunction/time';
import type { QueuePolicy, ServiceName } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import { Timeliness, computeTimeliness } from './rank.js';
import type { StepRecord } from './records.js';
import { computeUnusedCapacity } from './room.js';
import { SlidingMaximum } from './sliding-maximum.js';

/** Batch jobs claim this multiple of the most that they held, so that a queue of them can shrink again. */
const CLAIM_FACTOR = 1.5;

/** Batch jobs of one queue priority in one service. */
interface Claim {
  service: ServiceName;
  priority: number;
  /** Processor capacity that their runs hold now, in millicores. */
  held: number;
  /** The most that they held within the window. */
  peak: SlidingMaximum;
}

export class BatchClaims {
  private readonly claims = new Map<string, Claim>();

  /** Records what the runs of batch jobs with value hold. */
  observe(state: CellState, now: Instant): void {
    for (const claim of this.claims.values()) {
      claim.held = 0;
    }
    for (const { job, steps } of state.active) {
      const policy = state.getPolicy(job);
      for (const step of steps) {
        if (holdsRoom(step) && computeTimeliness(state, step, now) !== Timeliness.TooLate) {
          this.claimOf(policy).held += computeHeldMillicores(step);
        }
      }
    }
    for (const { held, peak } of this.claims.values()) {
      peak.observe(held, now);
    }
  }

  /**
   * Returns the millicores that long-running tasks of the queue may take of the free room. The rest is left to batch
   * jobs of the same or higher urgency, which held it within the window.
   */
  computeUnclaimed(state: CellState, { service, priority }: QueuePolicy): number {
    let unclaimed = sumFreeMillicores(state, service);
    for (const claim of this.claims.values()) {
      if (claim.service === service && claim.priority <= priority) {
        unclaimed -= CLAIM_FACTOR * claim.peak.value - claim.held;
      }
    }
    return unclaimed;
  }

  /** The millicores that tasks of the step may take: all for batch tasks, and what these leave for long-running ones. */
  computeLimit(state: CellState, { occurrence, specification }: StepRecord): number {
    return specification.longRunning && !specification.fills
      ? this.computeUnclaimed(state, state.getPolicy(occurrence.job))
      : Number.POSITIVE_INFINITY;
  }

  private claimOf({ service, priority }: QueuePolicy): Claim {
    const key = `${service} ${priority}`;
    let claim = this.claims.get(key);
    if (claim === undefined) {
      claim = { service, priority, held: 0, peak: new SlidingMaximum() };
      this.claims.set(key, claim);
    }
    return claim;
  }
}

/** True for batch steps whose runs hold processor capacity. */
function holdsRoom({ ready, specification, tasks, doneCount, waiting }: StepRecord): boolean {
  const { longRunning, fills } = specification;
  return ready && !longRunning && !fills && tasks.length > doneCount + waiting.size;
}

function computeHeldMillicores({ specification, tasks, doneCount, waiting }: StepRecord): number {
  return (tasks.length - doneCount - waiting.size) * specification.resources.processorMillicores;
}

function sumFreeMillicores({ vms }: CellState, service: ServiceName): number {
  let sum = 0;
  for (const vm of vms.values()) {
    if (vm.session !== 0 && vm.announcement?.service === service) {
      sum += Math.max(0, computeUnusedCapacity(vm).processorMillicores);
    }
  }
  return sum;
}
