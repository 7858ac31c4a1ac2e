/**
 * Decides about which step the adviser is called next. Calls are scarce, so they go to steps that tickets would let start
 * now. Each second one goes to the queue that has waited longest for a call, and in it to the step that has; the others
 * to the step with the fewest calls. So neither a step whose calls lead to nothing nor a queue with many steps keeps the
 * others from their turn. Placement searches VMs for some of many steps in each pass, so what it has found is kept.
 */
import { findAdviceDemand } from '@figjunction/scheduling';
import type { CellState, StepRecord, VmRecord } from '@figjunction/scheduling';
import type { Instant } from '@figjunction/time';

/** A call that may be made. */
export interface AdviceTurn {
  step: StepRecord;
  /** The VMs that the adviser should be asked about. */
  vms: VmRecord[];
}

/** Values that order steps; the first that differs decides. */
type OrderOf = (step: StepRecord) => number[];

export class AdviceTurns {
  /** The steps that lack tickets, and whether these would let a task start now. */
  private readonly demands = new Map<StepRecord, { hasRoom: boolean }>();

  /** When the last call about a step of each queue was made. */
  private readonly queuesCalledAt = new Map<string, Instant>();

  private isTurnOfLongestWaiting = false;

  constructor(private readonly state: CellState) {}

  /** Notes what the steps lack that a placement has searched VMs for. */
  update(searchedSteps: StepRecord[], now: Instant): void {
    for (const step of searchedSteps) {
      this.note(step, now);
    }
  }

  /**
   * Returns the call to make now; null if there is none. While no step could start now, steps get tickets in advance,
   * for the time when there is room for them.
   */
  takeNext(excludedSteps: ReadonlySet<StepRecord>, now: Instant): AdviceTurn | null {
    const turn =
      this.findFirst(true, excludedSteps, now) ?? this.findFirst(false, excludedSteps, now);
    if (turn !== null) {
      this.isTurnOfLongestWaiting = !this.isTurnOfLongestWaiting;
      this.queuesCalledAt.set(queueOf(turn.step), now);
    }
    return turn;
  }

  private note(step: StepRecord, now: Instant): VmRecord[] {
    const demand = step.waiting.size > 0 ? findAdviceDemand(this.state, step, now) : null;
    if (demand === null) {
      this.demands.delete(step);
      return [];
    }
    this.demands.set(step, { hasRoom: demand.hasRoom });
    return demand.vms;
  }

  /** Room may have gone since it was noted, so the step that comes first is looked at anew. */
  private findFirst(
    hasRoom: boolean,
    excludedSteps: ReadonlySet<StepRecord>,
    now: Instant,
  ): AdviceTurn | null {
    const orderOf: OrderOf =
      hasRoom && this.isTurnOfLongestWaiting
        ? (step) => this.orderByWait(step)
        : (step) => this.orderByCalls(step);
    const steps = [...this.demands]
      .filter(([step, demand]) => demand.hasRoom === hasRoom && !excludedSteps.has(step))
      .map(([step]) => step);
    for (const step of sortSteps(steps, orderOf)) {
      const vms = this.note(step, now);
      if (vms.length > 0 && this.demands.get(step)?.hasRoom === hasRoom) {
        return { step, vms };
      }
    }
    return null;
  }

  private orderByWait(step: StepRecord): number[] {
    const queueCalledAt = this.queuesCalledAt.get(queueOf(step)) ?? Number.NEGATIVE_INFINITY;
    return [queueCalledAt, step.advice.calledAt ?? step.occurrence.dueAt];
  }

  private orderByCalls(step: StepRecord): number[] {
    const { job, dueAt } = step.occurrence;
    return [step.advice.calls, this.state.getPolicy(job).priority, dueAt];
  }
}

function queueOf({ occurrence }: StepRecord): string {
  return occurrence.job.policy.name;
}

function sortSteps(steps: StepRecord[], orderOf: OrderOf): StepRecord[] {
  const ordered = steps.map((step) => ({ step, order: orderOf(step) }));
  ordered.sort((left, right) => compareOrders(left.order, right.order));
  return ordered.map(({ step }) => step);
}

function compareOrders(left: number[], right: number[]): number {
  const index = left.findIndex((value, position) => value !== right[position]);
  return index < 0 ? 0 : (left[index] ?? 0) - (right[index] ?? 0);
}
