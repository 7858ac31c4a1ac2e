/**
 * Sums over the VMs of a cell that tell, for the log, whether filler tasks stand still for serving tasks that they
 * slow down, or for serving tasks that are over their target without them.
 */
import { RunPhase } from '@figjunction/scheduling';
import type { CellState, RunRecord, VmRecord } from '@figjunction/scheduling';

export interface FillSummary extends Record<string, unknown> {
  /** Processor time in use by filler tasks. */
  fillUseMillicores: number;
  /** Filler runs that use next to none of the processor time that they ask for. */
  standingFillers: number;
  /** VMs with a serving task over its target. */
  vmsOverTarget: number;
  /** Those of them on which filler tasks run and all stand still, so that these are not the cause. */
  vmsOverTargetWithStandingFillers: number;
}

/** A run that uses less than this share of what it asks for stands still. */
const STANDING_SHARE = 0.03;
/** A measurement covers this time, so that of a younger run is incomplete. */
const MEASUREMENT_MS = 500;

export function summarizeFillers({ vms }: Pick<CellState, 'vms'>): FillSummary {
  const summary = {
    fillUseMillicores: 0,
    standingFillers: 0,
    vmsOverTarget: 0,
    vmsOverTargetWithStandingFillers: 0,
  };
  for (const vm of vms.values()) {
    addVm(summary, vm);
  }
  return summary;
}

function addVm(summary: FillSummary, { runs, listedAt }: VmRecord): void {
  const running = [...runs.values()].filter(
    ({ phase, runningSince }) =>
      phase === RunPhase.Running && listedAt - runningSince >= MEASUREMENT_MS,
  );
  const fillers = running.filter(({ task }) => task.step.specification.fills);
  const standing = fillers.filter(isStanding).length;
  const isOverTarget = running.some(exceedsTarget);
  summary.fillUseMillicores += fillers.reduce((sum, { measurement }) => sum + measurement, 0);
  summary.standingFillers += standing;
  summary.vmsOverTarget += isOverTarget ? 1 : 0;
  const areAllStanding = fillers.length > 0 && standing === fillers.length;
  summary.vmsOverTargetWithStandingFillers += isOverTarget && areAllStanding ? 1 : 0;
}

function isStanding({ task, measurement }: RunRecord): boolean {
  return measurement < STANDING_SHARE * task.step.specification.resources.processorMillicores;
}

function exceedsTarget({ task, measurement }: RunRecord): boolean {
  const { latencyTargetMs } = task.step.specification;
  return latencyTargetMs !== null && measurement > latencyTargetMs;
}
