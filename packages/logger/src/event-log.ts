/**
 * Log lines for decisions, with a budget for each kind of event, so that a flood of requests cannot make
 * the log a load of its own. Lines over the budget are counted and reported with the next line that fits.
 */
import type { Logger } from 'pino';

export interface EventLogOptions {
  logger: Logger;
  /** Milliseconds on a steady clock. */
  now: () => number;
  linesPerSecond?: number;
  /** Called for every event, also for those that are not written. */
  onEvent?: (event: string) => void;
}

interface Budget {
  windowStart: number;
  written: number;
  dropped: number;
}

const DEFAULT_LINES_PER_SECOND = 40;
const WINDOW_MS = 1_000;

export class EventLog {
  private readonly budgets = new Map<string, Budget>();

  private readonly linesPerSecond: number;

  constructor(private readonly options: EventLogOptions) {
    this.linesPerSecond = options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND;
  }

  write(event: string, fields: Record<string, unknown>): void {
    this.options.onEvent?.(event);
    const budget = this.budgetOf(event);
    if (budget.written >= this.linesPerSecond) {
      budget.dropped += 1;
      return;
    }
    budget.written += 1;
    const { dropped } = budget;
    budget.dropped = 0;
    this.options.logger.info(dropped > 0 ? { event, ...fields, dropped } : { event, ...fields });
  }

  private budgetOf(event: string): Budget {
    const now = this.options.now();
    let budget = this.budgets.get(event);
    if (budget === undefined) {
      budget = { windowStart: now, written: 0, dropped: 0 };
      this.budgets.set(event, budget);
    }
    if (now - budget.windowStart >= WINDOW_MS) {
      budget.windowStart = now;
      budget.written = 0;
    }
    return budget;
  }
}
