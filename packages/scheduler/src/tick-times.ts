/**
 * Measures how long the ticks of a scheduler take, and which of their phases takes most. A tick that takes long
 * delays all reports and orders, and the next tick, which comes only after a rest.
 */
import type { CellContext } from './cell-context.js';

export enum TickPhase {
  /** Expiry of leases, and occurrences that fall due. */
  Expire = 'expire',
  Housekeeping = 'housekeeping',
  Summary = 'summary',
  Place = 'place',
  Preempt = 'preempt',
  /** Requests to the adviser. */
  Advise = 'advise',
  /** Orders to runners. */
  Send = 'send',
  /** Transactions of progress. */
  Store = 'store',
}

export interface TickSummary extends Record<string, unknown> {
  ticks: number;
  /** Duration of the longest tick, in milliseconds. */
  longestTickMs: number;
  /** Duration of all ticks by phase, in milliseconds. */
  phaseMs: Partial<Record<TickPhase, number>>;
}

export class TickTimes {
  private ticks = 0;

  private longestTickMs = 0;

  private currentTickMs = 0;

  private readonly phaseMs = new Map<TickPhase, number>();

  constructor(private readonly context: Pick<CellContext, 'clock' | 'metrics'>) {}

  /** Runs one phase of the current tick and adds its duration. */
  measure<Result>(phase: TickPhase, run: () => Result): Result {
    const { clock } = this.context;
    const startedAt = clock.now();
    const result = run();
    const durationMs = clock.now() - startedAt;
    this.phaseMs.set(phase, (this.phaseMs.get(phase) ?? 0) + durationMs);
    this.currentTickMs += durationMs;
    return result;
  }

  /** Ends the current tick. */
  endTick(): void {
    this.context.metrics.recordLatency('tick_ms', this.currentTickMs);
    this.ticks += 1;
    this.longestTickMs = Math.max(this.longestTickMs, this.currentTickMs);
    this.currentTickMs = 0;
  }

  /** Returns the summary of the ticks since the last call. */
  take(): TickSummary {
    const phaseMs = Object.fromEntries(
      [...this.phaseMs].map(([phase, durationMs]) => [phase, Math.round(durationMs)]),
    );
    const summary = { ticks: this.ticks, longestTickMs: Math.round(this.longestTickMs), phaseMs };
    this.ticks = 0;
    this.longestTickMs = 0;
    this.phaseMs.clear();
    return summary;
  }
}
