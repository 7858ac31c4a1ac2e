/**
 * Records why tasks wait, once per change of the reason, so that `explain` can answer for a run that has
 * not started.
 */
import type { WaitingTask } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { DecisionKind } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { taskDecision } from './task-context.js';
import type { TaskEntry } from './task-table.js';

/** A task that starts within this time needs no explanation. */
const PATIENCE_MS = 1_000;
const REASONS_MAXIMUM = 4_096;

interface WaitingReason {
  reason: string;
  since: Instant;
  recorded: boolean;
}

export class WaitingLog {
  private readonly reasons = new Map<string, WaitingReason>();

  constructor(private readonly entry: EntryContext) {}

  note(waiting: WaitingTask[], rowOf: (key: string) => TaskEntry | undefined, now: Instant): void {
    for (const { key, reason } of waiting) {
      let known = this.reasons.get(key);
      if (known?.reason !== reason) {
        known = { reason, since: known?.since ?? now, recorded: false };
        this.add(key, known);
      }
      const row = rowOf(key)?.value;
      if (!known.recorded && row !== undefined && now - known.since >= PATIENCE_MS) {
        known.recorded = true;
        this.entry.decisions.add(
          taskDecision(this.entry, row, { kind: DecisionKind.Place, decision: `Waits: ${reason}` }),
        );
      }
    }
  }

  private add(key: string, reason: WaitingReason): void {
    this.reasons.delete(key);
    this.reasons.set(key, reason);
    if (this.reasons.size > REASONS_MAXIMUM) {
      const [oldest] = this.reasons.keys();
      this.reasons.delete(oldest ?? key);
    }
  }
}
