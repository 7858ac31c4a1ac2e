/**
 * Stores the progress of occurrences and the registrations of runners, one transaction at a time. Ends of
 * runs are acknowledged only after their effect is stored. A row that the store refuses holds back no others.
 */
import { ErrorCode, errorCodeOf, toError } from '@figjunction/errors';
import { isFinished, settleEnds } from '@figjunction/scheduling';
import type { CellState, JobRecord, OccurrenceRecord } from '@figjunction/scheduling';
import type { FeedRow } from '@figjunction/store';
import type { Instant } from '@figjunction/time';
import type { JobState } from '@figjunction/types';
import type { CellContext } from './cell-context.js';
import type { CellLease } from './cell-lease.js';
import { CELL_PARTITION, COMMIT_KEY, OWNER_KEY } from './cell-collections.js';
import {
  COMMIT_ROW,
  createRowWrites,
  fillBatch,
  listPendingRows,
  markJobFinished,
  narrowStored,
} from './progress-batch.js';
import type { ProgressBatch, StoredOccurrence } from './progress-batch.js';
import { JobRemovals } from './job-removals.js';
import { RefusedRows } from './refused-rows.js';

export interface ProgressWriterOptions {
  context: CellContext;
  state: CellState;
  lease: CellLease;
  /** Called when a registration is stored; only then may the runner get work. */
  onRunnerRegistered: (runnerId: string, address: string) => void;
  /** Called when a write shows that another process owns the cell. */
  onDeposed: () => void;
  onStored: () => void;
}

/** The store accepts calls of 1 MB; the rest is for the keys and the other fields. */
const MAXIMUM_BATCH_BYTES = 900_000;
/** The store accepts 100 entries per transaction; two conditions and the commit row use three of them. */
const MAXIMUM_BATCH_ENTRIES = 97;
const INITIAL_RETRY_DELAY_MS = 50;
const MAXIMUM_RETRY_DELAY_MS = 800;
const RETRY_BACKOFF_FACTOR = 2;

/** With these the store says that it never takes the call as it is. */
const REFUSAL_CODES: (ErrorCode | null)[] = [
  ErrorCode.InvalidInput,
  ErrorCode.TooLarge,
  ErrorCode.Forbidden,
  ErrorCode.NotFound,
  ErrorCode.Conflict,
  ErrorCode.Unauthenticated,
];

export class ProgressWriter {
  /** Addresses of runners that are not registered yet, by runner id. */
  private readonly pendingRegistrations = new Map<string, string>();

  private readonly removals: JobRemovals;

  private readonly refusedRows = new RefusedRows(MAXIMUM_BATCH_ENTRIES);

  private isWriting = false;

  private commitVersion: number;

  private retryAt: Instant = 0;

  private retryDelayMs = INITIAL_RETRY_DELAY_MS;

  constructor(private readonly options: ProgressWriterOptions) {
    this.commitVersion = options.lease.commitVersion;
    this.removals = new JobRemovals(options.context, options.state);
  }

  registerRunner(runnerId: string, address: string): void {
    this.pendingRegistrations.set(runnerId, address);
  }

  /** Removes the rows of a finished job, and the job when they are gone. */
  removeJob(job: JobRecord): void {
    this.removals.begin(job);
  }

  /** Starts a transaction when there is something to store and none is open. */
  flush(now: Instant): void {
    if (this.isWriting || now < this.retryAt) {
      return;
    }
    const batch = this.createBatch(now);
    if (batch.keys.length === 0) {
      return;
    }
    this.isWriting = true;
    this.writeBatch(batch)
      .catch((error: unknown) => this.handleFailure(batch, toError(error)))
      .finally(() => {
        this.isWriting = false;
      });
  }

  private createBatch(now: Instant): ProgressBatch {
    const { state, context } = this.options;
    this.dropRemovedJobs();
    const pending = listPendingRows(state.dirty, this.pendingRegistrations, this.removals.rows);
    const keys = this.refusedRows.select([...pending.keys()], now);
    return fillBatch(pending, keys, {
      unreportedVms: state.unreportedVms,
      rowMaximumBytes: context.rowMaximumBytes,
      batchMaximumBytes: MAXIMUM_BATCH_BYTES,
      heldKey: this.refusedRows.findSubstitute(keys),
    });
  }

  /** The rows of a removed job must not be stored anew, and no end waits for them. */
  private dropRemovedJobs(): void {
    const { dirty } = this.options.state;
    for (const occurrence of dirty) {
      if (this.removals.isRemoved(occurrence.job)) {
        dirty.delete(occurrence);
        occurrence.storedChange = Number.POSITIVE_INFINITY;
      }
    }
  }

  private async writeBatch(batch: ProgressBatch): Promise<void> {
    const { context, lease, state } = this.options;
    batch.occurrences.forEach(({ occurrence }) => state.dirty.delete(occurrence));
    narrowStored(batch);
    const sentAt = context.clock.now();
    let isStored = false;
    try {
      const result = await context.store.write({
        partition: CELL_PARTITION,
        expected: [lease.fencingExpectation(), { ...COMMIT_ROW, version: this.commitVersion }],
        writes: [{ ...COMMIT_ROW, value: { epoch: lease.epoch } }, ...createRowWrites(batch)],
        removals: batch.removals,
      });
      isStored = result.committed;
      if (result.committed) {
        this.commitVersion = result.version;
      } else {
        this.resolveConflict(result.current);
      }
    } finally {
      if (!isStored) {
        batch.occurrences.forEach(({ occurrence }) => state.dirty.add(occurrence));
      }
    }
    if (!isStored) {
      return;
    }
    context.metrics.recordLatency('progress_write_ms', context.clock.now() - sentAt);
    this.applyStoredBatch(batch);
  }

  /**
   * The store returns the owner row also when it is unchanged. A conflict on the commit row alone means that an
   * earlier transaction whose response was lost took effect.
   */
  private resolveConflict(current: FeedRow[]): void {
    const owner = current.find(({ key }) => key === OWNER_KEY);
    if (owner !== undefined && owner.version !== this.options.lease.fencingExpectation().version) {
      this.options.onDeposed();
    }
    const commit = current.find(({ key }) => key === COMMIT_KEY);
    this.commitVersion = commit?.version ?? this.commitVersion;
  }

  private applyStoredBatch(batch: ProgressBatch): void {
    const { state, onRunnerRegistered, onStored } = this.options;
    this.retryDelayMs = INITIAL_RETRY_DELAY_MS;
    const now = this.options.context.clock.now();
    const [held] = batch.occurrences.filter(({ isHeld }) => isHeld);
    if (held === undefined) {
      this.refusedRows.recordStored(batch.keys, now);
      batch.occurrences.forEach((stored) => this.applyStoredRow(stored, now));
    } else {
      this.refusedRows.recordSubstituteStored(batch.keys[0] ?? '', now);
      this.applyHeldRow(held);
    }
    for (const [id, address] of batch.runners) {
      this.pendingRegistrations.delete(id);
      onRunnerRegistered(id, address);
    }
    this.removals.recordRemoved(batch.removals);
    state.vms.forEach(settleEnds);
    onStored();
  }

  private applyStoredRow({ occurrence, row, change }: StoredOccurrence, now: Instant): void {
    const { state, runners } = row;
    if (occurrence.storedState !== state && isFinished(state)) {
      this.recordStoredEnd(occurrence, state, now);
    }
    occurrence.storedState = state;
    occurrence.storedVms = new Set(runners);
    occurrence.storedChange = change;
    markJobFinished(occurrence.job, now);
  }

  /** Later schedulers start no task of it, so no change has to be stored as long as the row stays. */
  private applyHeldRow({ occurrence, row }: StoredOccurrence): void {
    const { state, context, lease } = this.options;
    state.dirty.add(occurrence);
    occurrence.storedVms = new Set(row.runners);
    occurrence.storedChange = Number.POSITIVE_INFINITY;
    const { job, index } = occurrence;
    context.events.write('progress-held', { epoch: lease.epoch, job: job.id, occurrence: index });
  }

  private recordStoredEnd({ job, dueAt }: OccurrenceRecord, state: JobState, now: Instant): void {
    const { events, metrics } = this.options.context;
    const ageMs = Math.round(now - dueAt);
    events.write('job-ended', { job: job.id, queue: job.policy.name, state, ageMs });
    metrics.recordLatency('job_time_ms', ageMs, { queue: job.policy.name });
  }

  /** After a refusal the rest is tried at once: the store works. */
  private handleFailure(batch: ProgressBatch, error: Error): void {
    const { context } = this.options;
    const now = context.clock.now();
    const isRefusal = REFUSAL_CODES.includes(errorCodeOf(error));
    const { keys, occurrences } = batch;
    const failed = { keys, isRefusal, hasSubstitute: occurrences.length === 1 };
    const refusedRow = this.refusedRows.recordFailure(failed, now);
    const { message } = error;
    if (refusedRow !== null) {
      context.events.write('progress-row-refused', { row: refusedRow, error: message });
    }
    if (isRefusal || refusedRow !== null) {
      return;
    }
    this.retryAt = now + this.retryDelayMs;
    this.retryDelayMs = Math.min(MAXIMUM_RETRY_DELAY_MS, this.retryDelayMs * RETRY_BACKOFF_FACTOR);
    context.events.write('progress-write-failed', { error: message, retryMs: this.retryDelayMs });
  }
}
