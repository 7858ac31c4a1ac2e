/**
 * Records why tasks are pending, once per change of the reason, so that `explain` covers runs that have not
 * started.
 */
import type { WaitingTask } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { DecisionKind } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { createTaskDecision } from './task-context.js';
import type { TaskEntry } from './task-table.js';

/** A task that starts within this time gets no record. */
const EXPLANATION_DELAY_MS = 1_000;
const REASONS_MAXIMUM = 4_096;

interface WaitingReason {
  reason: string;
  since: Instant;
  isRecorded: boolean;
}

export class WaitingLog {
  private readonly reasons = new Map<string, WaitingReason>();

  constructor(private readonly entry: EntryContext) {}

  record(
    waiting: WaitingTask[],
    rowOf: (key: string) => TaskEntry | undefined,
    now: Instant,
  ): void {
    for (const { key, reason } of waiting) {
      let known = this.reasons.get(key);
      if (known?.reason !== reason) {
        known = { reason, since: known?.since ?? now, isRecorded: false };
        this.add(key, known);
      }
      const row = rowOf(key)?.value;
      if (!known.isRecorded && row !== undefined && now - known.since >= EXPLANATION_DELAY_MS) {
        known.isRecorded = true;
        this.entry.decisions.add(
          createTaskDecision(this.entry, row, {
            kind: DecisionKind.Place,
            decision: `Waits: ${reason}`,
          }),
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
