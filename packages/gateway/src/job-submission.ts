/**
 * Accepts jobs. A job is accepted once its row is stored; the same id sent again stays one job.
 */
import { ErrorCode, errorCodeOf, toError } from '@figjunction/errors';
import { CellCollection, jobPartition } from '@figjunction/scheduler';
import { sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import type { JobId, JobRow, JobSpecification, QueuePolicy } from '@figjunction/types';
import type { GatewayContext } from './gateway-context.js';

export enum SubmitOutcome {
  Accepted = 'accepted',
  /** Not stored, and nothing on its way can store it. */
  Refused = 'refused',
  /** A write without an answer may still take effect; the caller has to ask again. */
  Unknown = 'unknown',
}

export interface Submission {
  jobId: JobId;
  queue: QueuePolicy;
  specification: JobSpecification;
  /** When the caller stops waiting. */
  deadline: Instant;
}

/** A job is given up this long after its arrival when the store refuses it. */
const PATIENCE_MS = 700;
const RETRY_MS = 60;
const DEADLINE_MARGIN_MS = 150;
/** Ids whose outcome is unknown are kept for this many later submissions. */
const UNKNOWN_MAXIMUM = 10_000;

export class JobSubmission {
  private readonly unknown = new Set<JobId>();

  constructor(private readonly context: GatewayContext) {}

  async submit(submission: Submission): Promise<SubmitOutcome> {
    const { clock, events, metrics } = this.context;
    const arrivedAt = clock.now();
    const { jobId, queue } = submission;
    const outcome = await this.store(submission, arrivedAt);
    const tookMs = Math.round(clock.now() - arrivedAt);
    metrics.count('submissions_total', { outcome });
    metrics.recordLatency('submit_ms', tookMs);
    events.write('job-submitted', { job: jobId, queue: queue.name, outcome, tookMs });
    return outcome;
  }

  private async store(submission: Submission, arrivedAt: Instant): Promise<SubmitOutcome> {
    const { clock } = this.context;
    const { jobId } = submission;
    const giveUpAt = Math.min(arrivedAt + PATIENCE_MS, submission.deadline - DEADLINE_MARGIN_MS);
    // A write to a store that does not answer might take effect after the caller was refused.
    while (!this.context.storeHealth.isAway()) {
      try {
        await this.writeOnce(submission);
        this.unknown.delete(jobId);
        return SubmitOutcome.Accepted;
      } catch (error) {
        this.noteFailure(jobId, toError(error));
      }
      if (clock.now() >= giveUpAt) {
        break;
      }
      await sleep(RETRY_MS);
    }
    return this.unknown.has(jobId) ? SubmitOutcome.Unknown : SubmitOutcome.Refused;
  }

  /** A row that exists already is the same job, sent before. */
  private async writeOnce({ jobId, queue, specification }: Submission): Promise<void> {
    const { store, storeClock } = this.context;
    const row: JobRow = {
      policy: queue,
      specification,
      submittedAtStoreMs: Math.floor(storeClock.earliest()),
    };
    const reference = { collection: CellCollection.Jobs, key: jobId };
    await store.write({
      partition: jobPartition(jobId),
      expected: [{ ...reference, version: 0 }],
      writes: [{ ...reference, value: row }],
    });
  }

  private noteFailure(jobId: JobId, error: Error): void {
    const code = errorCodeOf(error);
    if (code === ErrorCode.OutcomeUnknown) {
      this.unknown.add(jobId);
      if (this.unknown.size > UNKNOWN_MAXIMUM) {
        const [oldest = jobId] = this.unknown;
        this.unknown.delete(oldest);
      }
    }
    this.context.events.write('job-not-stored', { job: jobId, code, error: error.message });
  }
}
