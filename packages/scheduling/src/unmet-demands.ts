/**
 * Records, during one placement pass, the resource demands that fit on no VM. A step with an equal or larger
 * demand is skipped without a search, which keeps a pass over a long queue cheap while the VMs are full.
 */
import type { Resources } from '@figjunction/types';
import { needsAdvice } from './advice.js';
import type { CellState } from './cell-state.js';
import type { StepRecord } from './records.js';
import { hasActiveRun } from './placement-rules.js';

export class UnmetDemands {
  private readonly demands = new Map<string, Resources[]>();

  constructor(private readonly state: CellState) {}

  /**
   * Records that a task of the step fits on no VM, or on none with the label that it requires. Ignores steps with other
   * limits on their VMs, since their failure does not show that others would not fit.
   */
  record(step: StepRecord): void {
    const { requiredLabel, tasksPerVmMaximum, resources } = step.specification;
    const isRestricted = tasksPerVmMaximum !== null || needsAdvice(this.state, step);
    if (!isRestricted && isComparable(step)) {
      const key = this.buildKey(step, requiredLabel);
      this.demands.set(key, [...(this.demands.get(key) ?? []), resources]);
    }
  }

  /** True when the step cannot fit, because its demand is at least as large as a recorded one. */
  rulesOut(step: StepRecord): boolean {
    if (this.demands.size === 0 || !isComparable(step)) {
      return false;
    }
    const { resources, requiredLabel } = step.specification;
    // What fits on no VM fits on none with the label either.
    const keys = [this.buildKey(step, null), this.buildKey(step, requiredLabel)];
    const demands = keys.flatMap((key) => this.demands.get(key) ?? []);
    return demands.some(
      ({ processorMillicores, memoryMegabytes, accelerators }) =>
        processorMillicores <= resources.processorMillicores &&
        memoryMegabytes <= resources.memoryMegabytes &&
        accelerators <= resources.accelerators,
    );
  }

  /** Filler steps are compared only with the same image, because images differ in pressure on serving tasks. */
  private buildKey({ specification, occurrence }: StepRecord, label: string | null): string {
    const { service } = this.state.getPolicy(occurrence.job);
    const { fills, image } = specification;
    return [service, label ?? '', fills ? `fills ${image}` : ''].join('\n');
  }
}

/**
 * False for steps whose placement depends on more than free capacity: long-running steps (reservations), gangs,
 * and the first run of a filler job.
 */
function isComparable(step: StepRecord): boolean {
  const { longRunning, gang, fills } = step.specification;
  return !longRunning && !gang && (!fills || hasActiveRun(step));
}
