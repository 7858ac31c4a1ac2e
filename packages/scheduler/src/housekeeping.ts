/**
 * The work on the tables of a cell that needs no tick of its own: stalled, endangered and slowed runs, and rows that are
 * not needed any more.
 */
import { evacuateDrainingVms, relocateSlowRuns, stopStalledRuns } from '@figjunction/scheduling';
import type { CellState } from '@figjunction/scheduling';
import type { Instant } from '@figjunction/time';
import type { CellContext } from './cell-context.js';
import type { JobIntake } from './job-intake.js';
import type { ProgressWriter } from './progress-writer.js';
import type { TermLog } from './term-log.js';

export interface HousekeepingOptions {
  context: Pick<CellContext, 'finishedJobRetentionMs'>;
  state: CellState;
  intake: Pick<JobIntake, 'removeUnmatchedCancellations'>;
  writer: Pick<ProgressWriter, 'removeJob'>;
  log: Pick<TermLog, 'recordStop'>;
}

const INTERVAL_MS = 200;

export class Housekeeping {
  private dueAt: Instant = 0;

  constructor(private readonly options: HousekeepingOptions) {}

  /** Does nothing until it is due again. */
  runIfDue(now: Instant): void {
    if (now >= this.dueAt) {
      this.dueAt = now + INTERVAL_MS;
      this.stopRuns(now);
      this.options.intake.removeUnmatchedCancellations(now);
      this.removeFinishedJobs(now);
    }
  }

  private stopRuns(now: Instant): void {
    const { state, log } = this.options;
    stopStalledRuns(state, now).forEach((run) => log.recordStop(run, 'stalled'));
    evacuateDrainingVms(state, now).forEach((run) => log.recordStop(run, 'vm-leaves'));
    relocateSlowRuns(state, now).forEach((run) => log.recordStop(run, 'slowed-down'));
  }

  private removeFinishedJobs(now: Instant): void {
    const { context, state, writer } = this.options;
    for (const job of state.jobs.values()) {
      if (job.finishedAt !== null && now - job.finishedAt > context.finishedJobRetentionMs) {
        writer.removeJob(job);
      }
    }
  }
}
