/**
 * A summary of a cell for the log: waiting work and use of the VMs. It holds sums over all VMs, so the line
 * stays short for any number of VMs; the events `run-ordered` and `run-ended` cover single VMs.
 */
import type { CellState, VmRecord } from '@figjunction/scheduling';
import { summarizeFillers } from './fill-summary.js';
import type { FillSummary } from './fill-summary.js';

export interface CellSummary extends FillSummary {
  activeJobs: number;
  waitingTasks: number;
  runs: number;
  vms: number;
  capacityMillicores: number;
  usedMillicores: number;
  fillMillicores: number;
  serving: number;
  /** VMs whose serving tasks tolerate no more filler work. */
  vmsWithoutAllowance: number;
  /** VMs whose lease has expired or that have not reported yet. */
  vmsWithoutSession: number;
  /** Estimated pressure of each image on serving tasks. */
  pressures: Record<string, number>;
}

export function summarizeCell(state: CellState): CellSummary {
  let waitingTasks = 0;
  for (const { steps } of state.active) {
    for (const { ready, waiting } of steps) {
      waitingTasks += ready ? waiting.size : 0;
    }
  }
  const vms = [...state.vms.values()].filter(({ session }) => session !== 0);
  const sum = (value: (vm: VmRecord) => number): number =>
    vms.reduce((total, vm) => total + value(vm), 0);
  return {
    activeJobs: state.active.size,
    waitingTasks,
    runs: sum(({ runs }) => runs.size),
    vms: vms.length,
    capacityMillicores: sum(({ announcement }) => announcement?.capacity.processorMillicores ?? 0),
    usedMillicores: sum(({ used }) => used.processorMillicores),
    fillMillicores: sum(({ fillMillicores }) => fillMillicores),
    serving: sum(({ servingCount }) => servingCount),
    vmsWithoutAllowance: vms.filter(({ pressureAllowance }) => pressureAllowance === 0).length,
    vmsWithoutSession: state.vms.size - vms.length,
    ...summarizeFillers(state),
    pressures: state.interference.describe(),
  };
}
