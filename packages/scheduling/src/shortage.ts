/**
 * Remembers during one pass of placement what found no room. A step that asks for as much finds none
 * either, so that a long queue costs little while the VMs are full.
 */
import type { Resources } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import type { StepRecord } from './records.js';
import { isAtWork } from './room.js';

export class Shortage {
  private readonly missed = new Map<string, Resources[]>();

  constructor(private readonly state: CellState) {}

  /** A task of the step found no room. Says nothing about others if the step may use some VMs only. */
  note(step: StepRecord): void {
    const { requiredLabel, tasksPerVmMaximum, resources } = step.specification;
    const { advice } = this.state.policyOf(step.occurrence.job);
    const isRestricted = requiredLabel !== null || tasksPerVmMaximum !== null || advice !== null;
    if (!isRestricted && isComparable(step)) {
      const key = this.keyOf(step);
      this.missed.set(key, [...(this.missed.get(key) ?? []), resources]);
    }
  }

  /** True when a step that asks for no more has found no room. */
  covers(step: StepRecord): boolean {
    const { resources } = step.specification;
    const missed = isComparable(step) ? this.missed.get(this.keyOf(step)) : undefined;
    return (
      missed?.some(
        ({ processorMillicores, memoryMegabytes, accelerators }) =>
          processorMillicores <= resources.processorMillicores &&
          memoryMegabytes <= resources.memoryMegabytes &&
          accelerators <= resources.accelerators,
      ) ?? false
    );
  }

  /** Work that fills is compared by image, because images disturb serving tasks differently. */
  private keyOf({ specification, occurrence }: StepRecord): string {
    const { service } = this.state.policyOf(occurrence.job);
    const { fills, image } = specification;
    return fills ? `${service} fills ${image}` : service;
  }
}

/** Reserved room, gangs and the first run of work that fills follow rules of their own. */
function isComparable(step: StepRecord): boolean {
  const { longRunning, gang, fills } = step.specification;
  return !longRunning && !gang && (!fills || isAtWork(step));
}
