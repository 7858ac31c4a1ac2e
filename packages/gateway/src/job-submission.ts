/**
 * Accepts jobs. A job is accepted once its row is stored. Submitting the same id again creates no second job.
 */
import { ErrorCode, errorCodeOf, toError } from '@figjunction/errors';
import { CellCollection, jobPartition } from '@figjunction/scheduler';
import { sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import type { JobId, JobRow, JobSpecification, QueuePolicy } from '@figjunction/types';
import type { GatewayContext } from './gateway-context.js';

export enum SubmitOutcome {
  Accepted = 'accepted',
  /** Not stored, and no pending write can still store it. */
  Refused = 'refused',
  /** A write without a response may still take effect; the caller has to submit the job again. */
  Unknown = 'unknown',
}

/** The configuration from which a request was decided, for the log. */
export interface ConfigurationView {
  revision: number | null;
  /** Longest time for which the store may have had a newer one. */
  configurationAgeMs: number;
}

export interface Submission {
  jobId: JobId;
  queue: QueuePolicy;
  specification: JobSpecification;
  /** When the caller stops waiting. */
  deadline: Instant;
  view: ConfigurationView;
}

interface SubmitResult {
  outcome: SubmitOutcome;
  /** Version of the job's row, by which its order with a cancellation can be told; null when it is not stored. */
  version: number | null;
}

/** Writes of a job are retried for this long after its arrival. */
const STORE_TIMEOUT_MS = 700;
const RETRY_INTERVAL_MS = 60;
/** Retries end this long before the caller's deadline, to leave time for the response. */
const DEADLINE_MARGIN_MS = 150;
/** Bounds each set of remembered jobs; the oldest ids are dropped first. */
const REMEMBERED_JOBS_MAXIMUM = 10_000;

export class JobSubmission {
  private readonly unknownOutcomes = new Set<JobId>();

  /** Jobs that the store has, for callers that submit them again. */
  private readonly storedJobs = new Set<JobId>();

  /** Number of writes in progress by job. */
  private readonly openWrites = new Map<JobId, number>();

  constructor(private readonly context: GatewayContext) {}

  async submit(submission: Submission): Promise<SubmitOutcome> {
    const { clock, events, metrics } = this.context;
    const arrivedAt = clock.now();
    const { jobId, queue, view } = submission;
    const { outcome, version } = await this.storeJob(submission, arrivedAt);
    const tookMs = Math.round(clock.now() - arrivedAt);
    metrics.count('submissions_total', { outcome });
    metrics.recordLatency('submit_ms', tookMs);
    events.write('job-submitted', {
      job: jobId,
      queue: queue.name,
      outcome,
      version,
      tookMs,
      ...view,
    });
    return outcome;
  }

  /** The outcome of a submission that makes no attempt to store the job: another one may have stored it. */
  outcomeWithoutAttempt(jobId: JobId): SubmitOutcome {
    if (this.storedJobs.has(jobId)) {
      return SubmitOutcome.Accepted;
    }
    const mayBeStored = this.unknownOutcomes.has(jobId) || this.openWrites.has(jobId);
    return mayBeStored ? SubmitOutcome.Unknown : SubmitOutcome.Refused;
  }

  private async storeJob(submission: Submission, arrivedAt: Instant): Promise<SubmitResult> {
    const { clock } = this.context;
    const { jobId } = submission;
    const giveUpAt = Math.min(
      arrivedAt + STORE_TIMEOUT_MS,
      submission.deadline - DEADLINE_MARGIN_MS,
    );
    // A write to an unreachable store might take effect after the caller was told that the job is refused.
    while (!this.context.storeHealth.isUnavailable()) {
      try {
        const version = await this.countOpenWrite(jobId, () => this.writeJobRow(submission));
        this.unknownOutcomes.delete(jobId);
        addBounded(this.storedJobs, jobId);
        return { outcome: SubmitOutcome.Accepted, version };
      } catch (error) {
        this.recordFailure(jobId, toError(error));
      }
      if (clock.now() >= giveUpAt) {
        break;
      }
      await sleep(RETRY_INTERVAL_MS);
    }
    return { outcome: this.outcomeWithoutAttempt(jobId), version: null };
  }

  private async countOpenWrite<Result>(
    jobId: JobId,
    write: () => Promise<Result>,
  ): Promise<Result> {
    this.openWrites.set(jobId, (this.openWrites.get(jobId) ?? 0) + 1);
    try {
      return await write();
    } finally {
      const remaining = (this.openWrites.get(jobId) ?? 1) - 1;
      if (remaining === 0) {
        this.openWrites.delete(jobId);
      } else {
        this.openWrites.set(jobId, remaining);
      }
    }
  }

  /**
   * Returns the version of the row. A conflict is no error: it means that the row exists because the same job was
   * submitted before.
   */
  private async writeJobRow({ jobId, queue, specification }: Submission): Promise<number | null> {
    const { store, storeClock } = this.context;
    const row: JobRow = {
      policy: queue,
      specification,
      submittedAtStoreMs: Math.floor(storeClock.earliest()),
    };
    const reference = { collection: CellCollection.Jobs, key: jobId };
    const result = await store.write({
      partition: jobPartition(jobId),
      expected: [{ ...reference, version: 0 }],
      writes: [{ ...reference, value: row }],
    });
    return result.committed ? result.version : (result.current[0]?.version ?? null);
  }

  private recordFailure(jobId: JobId, error: Error): void {
    const code = errorCodeOf(error);
    if (code === ErrorCode.OutcomeUnknown) {
      addBounded(this.unknownOutcomes, jobId);
    }
    this.context.events.write('job-not-stored', { job: jobId, code, error: error.message });
  }
}

function addBounded(jobIds: Set<JobId>, jobId: JobId): void {
  jobIds.add(jobId);
  if (jobIds.size > REMEMBERED_JOBS_MAXIMUM) {
    const [oldest = jobId] = jobIds;
    jobIds.delete(oldest);
  }
}
