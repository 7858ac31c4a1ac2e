/**
 * Tells which ends of runs have been acknowledged to which VMs, and which wait for their effect to be stored: one
 * line a second, however many VMs there are.
 */
import type { CellState, UnsettledEnd } from '@figjunction/scheduling';
import type { Instant } from '@figjunction/time';
import type { AgentId } from '@figjunction/types';
import { progressKey } from './cell-collections.js';
import type { CellContext } from './cell-context.js';

const NAMED_ROWS_MAXIMUM = 5;

export class AcknowledgementLog {
  /** The last end that a line has told to be acknowledged, by VM. */
  private readonly told = new Map<AgentId, number>();

  constructor(
    private readonly context: Pick<CellContext, 'events' | 'metrics'>,
    private readonly state: Pick<CellState, 'vms'>,
    private readonly epoch: number,
  ) {}

  /** Writes what has been acknowledged since the last call, and what waits; nothing if there is neither. */
  summarize(now: Instant): void {
    const through: Record<AgentId, number> = {};
    const waiting: UnsettledEnd[] = [];
    for (const { id, settledThrough, unsettledEnds } of this.state.vms.values()) {
      waiting.push(...unsettledEnds);
      if (settledThrough !== (this.told.get(id) ?? 0)) {
        this.told.set(id, settledThrough);
        through[id] = settledThrough;
      }
    }
    const { events, metrics } = this.context;
    metrics.setGauge('ends_unacknowledged', waiting.length);
    if (Object.keys(through).length + waiting.length === 0) {
      return;
    }
    const waitingSince = waiting.reduce((first, { appliedAt }) => Math.min(first, appliedAt), now);
    const unstored = waiting.filter(({ occurrence, change }) => occurrence.storedChange < change);
    const rows = new Set(
      unstored.map(({ occurrence }) => progressKey(occurrence.job.id, occurrence.index)),
    );
    events.write('ends-acknowledged', {
      epoch: this.epoch,
      through,
      waiting: waiting.length,
      waitingMs: Math.round(now - waitingSince),
      rows: rows.size,
      firstRows: [...rows].slice(0, NAMED_ROWS_MAXIMUM),
    });
  }
}
