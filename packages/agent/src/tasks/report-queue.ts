/**
 * Queues reports of ended tasks and resends each until an entry acknowledges it as settled.
 */
import { toError } from '@figjunction/errors';
import type { Instant } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import type { KnownEntry, TaskReport } from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';

const REPORTS_PER_CALL_MAXIMUM = 64;
const REPORT_TIMEOUT_MS = 3_000;
const RETRY_AFTER_MS = 500;

/** Called once a report is settled; `applied` says whether the row shows the reported end. */
export type OnSettled = (applied: boolean) => void;

interface PendingReport {
  report: TaskReport;
  onSettled: OnSettled;
}

export class ReportQueue {
  private readonly pending = new Map<string, PendingReport>();

  private isSending = false;

  private nextAttemptAt: Instant = Number.NEGATIVE_INFINITY;

  /** Failed calls, or responses with unsettled reports, in a row; selects the entry to try next. */
  private failedAttempts = 0;

  constructor(private readonly context: AgentContext) {}

  size(): number {
    return this.pending.size;
  }

  /** Queues a report. Replaces a queued report of the same attempt and kind. */
  add(report: TaskReport, onSettled: OnSettled): void {
    this.pending.set(createReportKey(report), { report, onSettled });
  }

  /** Sends pending reports unless a call is in progress or the delay after a failure has not passed. */
  async send(): Promise<void> {
    const entry = this.chooseEntry();
    const now = this.context.clock.now();
    if (
      this.isSending ||
      this.pending.size === 0 ||
      entry === undefined ||
      now < this.nextAttemptAt
    ) {
      return;
    }
    this.isSending = true;
    try {
      await this.sendTo(entry);
    } catch (error) {
      this.scheduleRetry();
      this.context.entries.markFailed(entry.entryId);
      const { message } = toError(error);
      this.context.logger.debug({ entry: entry.entryId, error: message }, 'report failed');
    } finally {
      this.isSending = false;
    }
  }

  private async sendTo(entry: KnownEntry): Promise<void> {
    const batch = [...this.pending.values()].slice(0, REPORTS_PER_CALL_MAXIMUM);
    const result = await this.context.rpc.call(
      entry.address,
      RpcMethod.TaskReport,
      { agentId: this.context.settings.agentId, reports: batch.map(({ report }) => report) },
      { timeoutMs: REPORT_TIMEOUT_MS, newConnection: this.failedAttempts > 0 },
    );
    batch.forEach((item, index) => {
      if (result.settled[index] === true) {
        this.settle(item, result.applied[index] === true);
      }
    });
    if (batch.some((item) => this.pending.has(createReportKey(item.report)))) {
      this.scheduleRetry();
    } else {
      this.failedAttempts = 0;
    }
  }

  private settle(item: PendingReport, applied: boolean): void {
    const key = createReportKey(item.report);
    if (this.pending.get(key) === item) {
      this.pending.delete(key);
      item.onSettled(applied);
    }
  }

  private scheduleRetry(): void {
    this.failedAttempts += 1;
    this.nextAttemptAt = this.context.clock.now() + this.context.random.jitter(RETRY_AFTER_MS);
  }

  private chooseEntry(): KnownEntry | undefined {
    const entries = this.context.entries.inPreferenceOrder();
    return entries[this.failedAttempts % Math.max(1, entries.length)];
  }
}

function createReportKey(report: TaskReport): string {
  return `${report.taskId}#${report.attempt}#${report.kind}`;
}
