/**
 * Throttles the filler tasks of a VM while a serving task on it is close to its latency target. The model:
 * latency = latency without fillers * exp(total pressure of the fillers). The margin to the target therefore
 * gives the pressure that can be added.
 */
import { toError } from '@figjunction/errors';
import type { EventLog } from '@figjunction/logger';
import type { Clock, Instant } from '@figjunction/time';
import type { RunEntry, RunTable } from './run-table.js';
import type { PaceRequest, VmCall, VmHost } from './vm-host.js';

/** Share of the latency target that the controller regulates to while serving tasks are far below it. */
const LATENCY_SETPOINT_SHARE = 0.7;
/**
 * Part of the margin that a serving task has to its target without fillers, on the logarithmic scale, that fillers may
 * take in any case. The rest is for the load of the serving task, which fluctuates within seconds.
 */
const MARGIN_SHARE = 0.5;
/** Limits the rise per adjustment, because the load of serving tasks fluctuates within seconds. */
const ALLOWANCE_RISE_MAXIMUM = 0.2;
const ALLOWANCE_MAXIMUM = 3;
const FULL_PACE_PERCENT = 100;
/** A lower pace is set to 0, which suspends the task. */
const MINIMUM_PACE_PERCENT = 3;
/** Measurements cover the last 500 ms, so they reflect a change of pace only after that time. */
const ADJUSTMENT_INTERVAL_MS = 600;
/**
 * Once a serving task has exceeded its latency target for this long, every filler task is assumed to exert at
 * least `MINIMUM_PRESSURE`, because its learnt pressure may be too low.
 */
const MINIMUM_PRESSURE_AFTER_MS = 1_200;
const MINIMUM_PRESSURE = 0.15;

export class FillerPacer {
  /** Total pressure that filler tasks may exert; null while no serving task runs on the VM. */
  allowance: number | null = null;

  private adjustedAt: Instant = Number.NEGATIVE_INFINITY;

  private overTargetSince: Instant | null = null;

  private readonly lastRequests = new WeakMap<RunEntry, PaceRequest>();

  constructor(
    private readonly host: VmHost,
    private readonly events: EventLog,
    private readonly clock: Clock,
  ) {}

  hasServingTask(runs: RunTable): boolean {
    return [...runs.entries.values()].some(isServing);
  }

  /** Updates the allowance from the latest measurements and distributes it among the filler tasks. */
  adjust(runs: RunTable, call: VmCall): void {
    const entries = [...runs.entries.values()];
    const serving = entries.filter(isServing);
    const fillers = entries.filter(isFiller);
    const now = this.clock.now();
    if (serving.length === 0) {
      this.allowance = null;
      this.overTargetSince = null;
    } else if (now - this.adjustedAt >= ADJUSTMENT_INTERVAL_MS) {
      this.adjustedAt = now;
      this.updateAllowance(Math.max(...serving.map(latencyShareOf)), fillers, now);
    }
    this.distributeAllowance(fillers, call);
  }

  private updateAllowance(latencyShare: number, fillers: RunEntry[], now: Instant): void {
    this.overTargetSince = latencyShare > 1 ? (this.overTargetSince ?? now) : null;
    if (latencyShare <= 0) {
      // A task that has just started has no measurement yet.
      this.allowance ??= 0;
      return;
    }
    const pressure = fillers.reduce((sum, entry) => sum + this.currentPressure(entry), 0);
    const bearablePressure = computeBearablePressure(Math.log(latencyShare) - pressure);
    const before = this.allowance ?? 0;
    this.allowance = Math.max(
      0,
      Math.min(bearablePressure, before + ALLOWANCE_RISE_MAXIMUM, ALLOWANCE_MAXIMUM),
    );
    if (bearablePressure < before && fillers.length > 0) {
      const fields = {
        before,
        after: this.allowance,
        pressure,
        shareOfLatencyTarget: latencyShare,
      };
      this.events.write('fill-slowed', fields);
    }
  }

  private currentPressure(entry: RunEntry): number {
    return (this.pressureOf(entry) * entry.pacePercent) / FULL_PACE_PERCENT;
  }

  private pressureOf({ attributes }: RunEntry): number {
    const learntPressure = attributes?.pressure ?? 0;
    const isMinimumApplied =
      this.overTargetSince !== null &&
      this.clock.now() - this.overTargetSince >= MINIMUM_PRESSURE_AFTER_MS;
    return isMinimumApplied ? Math.max(learntPressure, MINIMUM_PRESSURE) : learntPressure;
  }

  /** Serves the tasks with the lowest pressure first, so that those with the highest are slowed first. */
  private distributeAllowance(fillers: RunEntry[], call: VmCall): void {
    let remaining = this.allowance ?? Number.POSITIVE_INFINITY;
    const lightestFirst = [...fillers].sort((a, b) => this.pressureOf(a) - this.pressureOf(b));
    for (const entry of lightestFirst) {
      const pressure = this.pressureOf(entry);
      const percent =
        pressure <= remaining
          ? FULL_PACE_PERCENT
          : Math.floor((FULL_PACE_PERCENT * remaining) / pressure);
      remaining = Math.max(0, remaining - pressure);
      const pace = percent < MINIMUM_PACE_PERCENT ? 0 : percent;
      if (entry.pacePercent !== pace) {
        this.setPace(entry, pace, call);
      }
    }
  }

  private setPace(entry: RunEntry, percent: number, call: VmCall): void {
    const { taskId, run, pacePercent: before } = entry;
    const request = { ...call, taskId, run, percent };
    entry.pacePercent = percent;
    this.lastRequests.set(entry, request);
    this.host.pace(request).catch((error: unknown) => {
      // A later request may have been answered meanwhile.
      if (this.lastRequests.get(entry) === request) {
        entry.pacePercent = before;
      }
      this.events.write('pace-failed', { task: taskId, run, error: toError(error).message });
    });
  }
}

/** `loneLogShare` is the logarithm of the share of its target that the slowest serving task would have without fillers. */
function computeBearablePressure(loneLogShare: number): number {
  return Math.max(Math.log(LATENCY_SETPOINT_SHARE) - loneLogShare, -MARGIN_SHARE * loneLogShare);
}

function isFiller({ attributes }: RunEntry): boolean {
  return attributes?.fills === true;
}

function isServing({ attributes }: RunEntry): boolean {
  return (attributes?.latencyTargetMs ?? null) !== null;
}

function latencyShareOf({ attributes, reading }: RunEntry): number {
  return reading / (attributes?.latencyTargetMs ?? Number.POSITIVE_INFINITY);
}
