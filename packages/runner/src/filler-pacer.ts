/**
 * Slows tasks that fill while a task that serves on the same VM is near its latency target. The latency is
 * taken to be the serving task's own times the exponential of the pressure of all filling tasks, so the
 * distance to the target tells how much more pressure is bearable.
 */
import { toError } from '@figjunction/errors';
import type { EventLog } from '@figjunction/logger';
import type { Clock, Instant } from '@figjunction/time';
import type { RunEntry, RunTable } from './run-table.js';
import type { VmCall, VmHost } from './vm-host.js';

/** Share of the latency target that is aimed at. */
const AIMED_SHARE = 0.7;
/** The allowance rises slowly, because the load of the serving tasks swings within seconds. */
const RISE_MAXIMUM = 0.2;
const ALLOWANCE_MAXIMUM = 3;
const FULL_PACE = 100;
/** A pace below this is a stop of the work. */
const LOWEST_PACE = 3;
/** Readings cover the last half second, so a change of pace shows in them only after that time. */
const ADJUSTMENT_PAUSE_MS = 600;
/** Over its target for this long, all filling work counts as disturbing, whatever was learnt. */
const DISTRUST_AFTER_MS = 1_200;
const DISTRUSTED_PRESSURE = 0.15;

export class FillPacer {
  /** Pressure that filling work may put on the serving tasks; null while no task serves. */
  allowance: number | null = null;

  private adjustedAt: Instant = Number.NEGATIVE_INFINITY;

  private overTargetSince: Instant | null = null;

  constructor(
    private readonly host: VmHost,
    private readonly events: EventLog,
    private readonly clock: Clock,
  ) {}

  isNeeded(runs: RunTable): boolean {
    return [...runs.entries.values()].some(isServing);
  }

  /** Chooses an allowance from the readings that were just listed, and shares it among the tasks. */
  adjust(runs: RunTable, call: VmCall): void {
    const entries = [...runs.entries.values()];
    const serving = entries.filter(isServing);
    const fills = entries.filter(isFill);
    const now = this.clock.now();
    if (serving.length === 0) {
      this.allowance = null;
      this.overTargetSince = null;
    } else if (now - this.adjustedAt >= ADJUSTMENT_PAUSE_MS) {
      this.adjustedAt = now;
      this.changeAllowance(Math.max(...serving.map(shareOfTarget)), fills, now);
    }
    this.share(fills, call);
  }

  private changeAllowance(share: number, fills: RunEntry[], now: Instant): void {
    this.overTargetSince = share > 1 ? (this.overTargetSince ?? now) : null;
    if (share <= 0) {
      // A task that has just started has no reading yet.
      this.allowance ??= 0;
      return;
    }
    const pressure = fills.reduce((sum, entry) => sum + this.currentPressure(entry), 0);
    const bearable = pressure + Math.log(AIMED_SHARE / share);
    const before = this.allowance ?? 0;
    this.allowance = Math.max(0, Math.min(bearable, before + RISE_MAXIMUM, ALLOWANCE_MAXIMUM));
    if (bearable < before && fills.length > 0) {
      const fields = { before, after: this.allowance, pressure, shareOfLatencyTarget: share };
      this.events.write('fill-slowed', fields);
    }
  }

  private currentPressure(entry: RunEntry): number {
    return (this.pressureOf(entry) * entry.pacePercent) / FULL_PACE;
  }

  private pressureOf({ attributes }: RunEntry): number {
    const learnt = attributes?.pressure ?? 0;
    const isDistrusted =
      this.overTargetSince !== null && this.clock.now() - this.overTargetSince >= DISTRUST_AFTER_MS;
    return isDistrusted ? Math.max(learnt, DISTRUSTED_PRESSURE) : learnt;
  }

  /** Slows the tasks with the highest pressure first. */
  private share(fills: RunEntry[], call: VmCall): void {
    let left = this.allowance ?? Number.POSITIVE_INFINITY;
    const lightestFirst = [...fills].sort((a, b) => this.pressureOf(a) - this.pressureOf(b));
    for (const entry of lightestFirst) {
      const pressure = this.pressureOf(entry);
      const percent = pressure <= left ? FULL_PACE : Math.floor((FULL_PACE * left) / pressure);
      left = Math.max(0, left - pressure);
      const pace = percent < LOWEST_PACE ? 0 : percent;
      if (entry.pacePercent !== pace) {
        this.setPace(entry, pace, call);
      }
    }
  }

  private setPace(entry: RunEntry, percent: number, call: VmCall): void {
    const { taskId, run, pacePercent: before } = entry;
    entry.pacePercent = percent;
    this.host.pace({ ...call, taskId, run, percent }).catch((error: unknown) => {
      entry.pacePercent = before;
      this.events.write('pace-failed', { task: taskId, run, error: toError(error).message });
    });
  }
}

function isFill({ attributes }: RunEntry): boolean {
  return attributes?.fills === true;
}

function isServing({ attributes }: RunEntry): boolean {
  return (attributes?.latencyTargetMs ?? null) !== null;
}

function shareOfTarget({ attributes, reading }: RunEntry): number {
  return reading / (attributes?.latencyTargetMs ?? Number.POSITIVE_INFINITY);
}
