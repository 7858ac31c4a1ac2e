/**
 * Slows tasks that fill while a task that serves on the same VM is near its latency target, and lets them
 * speed up again in small steps. All tasks that fill on a VM share one allowance of processor time.
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
/** The strongest change of the allowance in one step. */
const SLOW_DOWN_FACTOR_MINIMUM = 0.2;
const SPEED_UP_STEP_MILLICORES = 500;
const SPEED_UP_FACTOR = 1.15;
const FIRST_ALLOWANCE_MILLICORES = 2_000;
const FULL_PACE = 100;
/** A pace below this is a stop of the work. */
const LOWEST_PACE = 3;
/** Readings cover the last half second, so a change of pace shows in them only after that time. */
const ADJUSTMENT_PAUSE_MS = 600;

export class FillPacer {
  /** Processor time that filling work may use; null while no task serves. */
  allowanceMillicores: number | null = null;

  private adjustedAt: Instant = Number.NEGATIVE_INFINITY;

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
    const asked = fills.reduce((sum, { attributes }) => sum + millicoresOf(attributes), 0);
    const now = this.clock.now();
    if (serving.length === 0) {
      this.allowanceMillicores = null;
    } else if (now - this.adjustedAt >= ADJUSTMENT_PAUSE_MS) {
      this.adjustedAt = now;
      this.changeAllowance(Math.max(...serving.map(shareOfTarget)), asked);
    }
    const percent = paceFor(this.allowanceMillicores, asked);
    for (const entry of fills) {
      if (entry.pacePercent !== percent) {
        this.setPace(entry, percent, call);
      }
    }
  }

  private changeAllowance(load: number, asked: number): void {
    const before = this.allowanceMillicores ?? FIRST_ALLOWANCE_MILLICORES;
    const after = Math.floor(nextAllowance(before, load, asked));
    this.allowanceMillicores = after;
    if (after < before) {
      const shareOfLatencyTarget = Math.round(load * 100) / 100;
      this.events.write('fill-slowed', { after, before, asked, shareOfLatencyTarget });
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

function nextAllowance(allowance: number, load: number, asked: number): number {
  if (load > SLOW_DOWN_SHARE) {
    const factor = Math.max(SLOW_DOWN_FACTOR_MINIMUM, AIMED_SHARE / load);
    return asked === 0 ? allowance * factor : Math.min(allowance, asked) * factor;
  }
  // More than a step above what is asked for says nothing about what the serving tasks bear.
  const bound = asked + FIRST_ALLOWANCE_MILLICORES;
  const raised = Math.min(bound, allowance * SPEED_UP_FACTOR + SPEED_UP_STEP_MILLICORES);
  return load < SPEED_UP_SHARE ? Math.max(allowance, raised) : allowance;
}

function paceFor(allowance: number | null, asked: number): number {
  if (allowance === null || asked <= allowance) {
    return FULL_PACE;
  }
  const percent = Math.floor((FULL_PACE * allowance) / asked);
  return percent < LOWEST_PACE ? 0 : percent;
}

function millicoresOf(attributes: RunEntry['attributes']): number {
  return attributes?.processorMillicores ?? 0;
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
