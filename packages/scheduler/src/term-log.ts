/**
 * Writes the log lines and metrics of a scheduler's ticks: starts, stops, and a summary each second.
 */
import type { CellState, RunRecord } from '@figjunction/scheduling';
import type { Instant } from '@figjunction/time';
import { AcknowledgementLog } from './acknowledgement-log.js';
import type { CellContext } from './cell-context.js';
import { summarizeCell } from './cell-summary.js';
import { QueueActivity } from './queue-activity.js';
import { summarizeQueues } from './queue-summary.js';
import { TickTimes } from './tick-times.js';

const SUMMARY_INTERVAL_MS = 1_000;

export class TermLog {
  readonly activity = new QueueActivity();

  readonly tickTimes: TickTimes;

  private readonly acknowledgements: AcknowledgementLog;

  private summaryAt: Instant = 0;

  constructor(
    private readonly context: Pick<CellContext, 'clock' | 'events' | 'metrics' | 'processorLoad'>,
    private readonly state: CellState,
    epoch: number,
  ) {
    this.tickTimes = new TickTimes(context);
    this.acknowledgements = new AcknowledgementLog(context, state, epoch);
  }

  recordStart(record: RunRecord, now: Instant): void {
    const { task, run, vm, ticket } = record;
    const { events, metrics } = this.context;
    const waitedMs = Math.round(now - task.waitingSince);
    this.activity.recordStart(record, now);
    metrics.recordLatency('start_wait_ms', waitedMs);
    events.write('run-ordered', {
      task: task.id,
      run,
      vm: vm.id,
      waitedMs,
      resumed: task.checkpoint !== '',
      ticket: ticket ?? undefined,
    });
  }

  recordStop(record: RunRecord, reason: string): void {
    const { task, run, vm, percent } = record;
    this.activity.recordStop(record);
    this.context.events.write('run-stopped', { task: task.id, run, vm: vm.id, reason, percent });
  }

  /** Writes the summaries if they are due. */
  summarize(now: Instant): void {
    if (now < this.summaryAt) {
      return;
    }
    this.summaryAt = now + SUMMARY_INTERVAL_MS;
    const { events } = this.context;
    const utilization = Number(this.context.processorLoad.utilization().toFixed(2));
    const tickTimes = this.tickTimes.take();
    events.write('cell-summary', { ...summarizeCell(this.state), ...tickTimes, utilization });
    this.acknowledgements.summarize(now);
    for (const summary of summarizeQueues(this.state, this.activity.take(), now)) {
      events.write('queue-summary', summary);
    }
  }
}
