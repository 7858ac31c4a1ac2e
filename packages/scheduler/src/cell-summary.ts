/**
 * A summary of a cell for the log: how much waits and how the VMs are used.
 */
import type { CellState, VmRecord } from '@figjunction/scheduling';

export interface CellSummary extends Record<string, unknown> {
  activeJobs: number;
  waitingTasks: number;
  runs: number;
  vms: VmSummary[];
  /** Learnt pressure of images on serving tasks. */
  pressures: Record<string, number>;
}

export interface VmSummary {
  vm: string;
  capacityMillicores: number;
  usedMillicores: number;
  fillMillicores: number;
  serving: number;
  pressureAllowance: number | null;
}

export function summarize(state: CellState): CellSummary {
  let waitingTasks = 0;
  for (const { steps } of state.active) {
    for (const { ready, waiting } of steps) {
      waitingTasks += ready ? waiting.size : 0;
    }
  }
  const vms = [...state.vms.values()].filter(({ session }) => session !== 0);
  return {
    activeJobs: state.active.size,
    waitingTasks,
    runs: vms.reduce((sum, vm) => sum + vm.runs.size, 0),
    vms: vms.map(summarizeVm),
    pressures: state.interference.describe(),
  };
}

function summarizeVm(vm: VmRecord): VmSummary {
  return {
    vm: vm.id,
    capacityMillicores: vm.announcement?.capacity.processorMillicores ?? 0,
    usedMillicores: vm.used.processorMillicores,
    fillMillicores: vm.fillMillicores,
    serving: vm.servingCount,
    pressureAllowance: vm.pressureAllowance,
  };
}
