/**
 * Slows tasks that fill while a task that serves on the same VM is near its latency target, and lets them
 * speed up again in small steps.
 */
import { toError } from '@figjunction/errors';
import type { EventLog } from '@figjunction/logger';
import type { Clock, Instant } from '@figjunction/time';
import type { RunEntry, RunTable } from './run-table.js';
import type { VmCall, VmHost } from './vm-host.js';

/** Shares of the latency target. */
const SLOW_DOWN_SHARE = 0.85;
const SPEED_UP_SHARE = 0.6;
const AIMED_SHARE = 0.65;
const SLOW_DOWN_FACTOR_MINIMUM = 0.2;
const SPEED_UP_PERCENT = 20;
const FULL_PACE = 100;
/** A pace below this is a stop of the work. */
const LOWEST_PACE = 10;
/** Readings cover the last half second, so a change of pace shows in them only after that time. */
const ADJUSTMENT_PAUSE_MS = 600;

export class FillPacer {
  private adjustedAt: Instant = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly host: VmHost,
    private readonly events: EventLog,
    private readonly clock: Clock,
  ) {}

  isNeeded(runs: RunTable): boolean {
    const entries = [...runs.entries.values()];
    return entries.some(isFill) && entries.some(isServing);
  }

  /** Chooses a pace from the readings that were just listed. */
  adjust(runs: RunTable, call: VmCall): void {
    const now = this.clock.now();
    if (now - this.adjustedAt < ADJUSTMENT_PAUSE_MS) {
      return;
    }
    this.adjustedAt = now;
    const entries = [...runs.entries.values()];
    const load = Math.max(0, ...entries.filter(isServing).map(shareOfTarget));
    for (const entry of entries.filter(isFill)) {
      const percent = nextPace(entry.pacePercent, load);
      if (percent !== entry.pacePercent) {
        this.setPace(entry, percent, call, load);
      }
    }
  }

  private setPace(entry: RunEntry, percent: number, call: VmCall, load: number): void {
    const before = entry.pacePercent;
    entry.pacePercent = percent;
    const { taskId, run } = entry;
    const shareOfLatencyTarget = Math.round(load * 100) / 100;
    this.events.write('run-paced', { task: taskId, run, percent, shareOfLatencyTarget });
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
