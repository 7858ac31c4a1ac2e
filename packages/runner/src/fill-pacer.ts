/**
 * Slows tasks that fill while a task that serves on the same VM is near its latency target, and lets them
 * speed up again in small steps. All tasks that fill on a VM work at one pace.
 */
import { toError } from '@figjunction/errors';
import type { EventLog } from '@figjunction/logger';
import type { Clock, Instant } from '@figjunction/time';
import type { RunEntry, RunTable } from './run-table.js';
import type { VmCall, VmHost } from './vm-host.js';

/** Shares of the latency target. */
const SLOW_DOWN_SHARE = 0.8;
const SPEED_UP_SHARE = 0.6;
const AIMED_SHARE = 0.6;
/** The strongest change of the pace in one step. */
const SLOW_DOWN_FACTOR_MINIMUM = 0.2;
const SPEED_UP_PERCENT = 10;
const FULL_PACE = 100;
/** A pace below this is a stop of the work. */
const LOWEST_PACE = 4;
/** Readings cover the last half second, so a change of pace shows in them only after that time. */
const ADJUSTMENT_PAUSE_MS = 600;

export class FillPacer {
  private adjustedAt: Instant = Number.NEGATIVE_INFINITY;

  private percent = FULL_PACE;

  constructor(
    private readonly host: VmHost,
    private readonly events: EventLog,
    private readonly clock: Clock,
  ) {}

  isNeeded(runs: RunTable): boolean {
    const entries = [...runs.entries.values()];
    return entries.some(isFill) && entries.some(isServing);
  }

  /** Chooses a pace from the readings that were just listed, and applies it also to new tasks. */
  adjust(runs: RunTable, call: VmCall): void {
    const entries = [...runs.entries.values()];
    const load = Math.max(0, ...entries.filter(isServing).map(shareOfTarget));
    const now = this.clock.now();
    if (now - this.adjustedAt >= ADJUSTMENT_PAUSE_MS) {
      this.adjustedAt = now;
      this.changePace(nextPace(this.percent, load), load);
    }
    for (const entry of entries) {
      if (isFill(entry) && entry.pacePercent !== this.percent) {
        this.setPace(entry, call);
      }
    }
  }

  private changePace(percent: number, load: number): void {
    if (percent !== this.percent) {
      const shareOfLatencyTarget = Math.round(load * 100) / 100;
      const { percent: before } = this;
      this.events.write('pace-changed', { percent, before, shareOfLatencyTarget });
      this.percent = percent;
    }
  }

  private setPace(entry: RunEntry, call: VmCall): void {
    const { percent } = this;
    const { taskId, run, pacePercent: before } = entry;
    entry.pacePercent = percent;
    this.host.pace({ ...call, taskId, run, percent }).catch((error: unknown) => {
      entry.pacePercent = before;
      this.events.write('pace-failed', { task: taskId, run, error: toError(error).message });
    });
  }
}

function nextPace(percent: number, load: number): number {
  if (load > SLOW_DOWN_SHARE) {
    const factor = Math.max(SLOW_DOWN_FACTOR_MINIMUM, AIMED_SHARE / load);
    const slower = Math.floor(percent * factor);
    return slower < LOWEST_PACE ? 0 : slower;
  }
  return load < SPEED_UP_SHARE ? Math.min(FULL_PACE, percent + SPEED_UP_PERCENT) : percent;
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
