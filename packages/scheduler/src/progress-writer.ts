/**
 * Stores the progress of occurrences and the registrations of runners, one transaction at a time. Ends of
 * runs count as settled only once their effect is stored.
 */
import { toError } from '@figjunction/errors';
import { encodeProgress, isFinished } from '@figjunction/scheduling';
import type { CellState, JobRecord } from '@figjunction/scheduling';
import type { FeedRow } from '@figjunction/store';
import type { Instant } from '@figjunction/time';
import type { CellContext } from './cell-context.js';
import type { CellLease } from './cell-lease.js';
import {
  CELL_PARTITION,
  COMMIT_KEY,
  CellCollection,
  OWNER_KEY,
  jobPartition,
} from './cell-tables.js';
import {
  COMMIT_ROW,
  describeWrites,
  finishJob,
  keepStoredVms,
  progressRowsOf,
} from './progress-batch.js';
import type { ProgressBatch } from './progress-batch.js';

export interface ProgressWriterOptions {
  context: CellContext;
  state: CellState;
  lease: CellLease;
  /** A runner has been registered and may get work. */
  onRegistered: (runnerId: string, address: string) => void;
  /** Another process owns the cell. */
  onDeposed: () => void;
  onStored: () => void;
}

/** The store takes 100 entries: two conditions and the commit row are among them. */
const ENTRIES_MAXIMUM = 97;
const RETRY_FIRST_MS = 50;
const RETRY_MAXIMUM_MS = 800;
const RETRY_FACTOR = 2;

export class ProgressWriter {
  private readonly unregistered = new Map<string, string>();

  /** Jobs whose own rows are being removed, and jobs whose progress remains to be removed. */
  private readonly removing = new Set<JobRecord>();

  private readonly expired = new Set<JobRecord>();

  private writing = false;

  private commitVersion: number;

  private retryAt: Instant = 0;

  private retryDelayMs = RETRY_FIRST_MS;

  constructor(private readonly options: ProgressWriterOptions) {
    this.commitVersion = options.lease.commitVersion;
  }

  register(runnerId: string, address: string): void {
    this.unregistered.set(runnerId, address);
  }

  /**
   * Removes a job for good. The rows of the gateways go first: a job whose progress alone is gone would
   * start again.
   */
  remove(job: JobRecord): void {
    if (this.removing.has(job)) {
      return;
    }
    this.removing.add(job);
    const { context } = this.options;
    const removals = [CellCollection.Jobs, CellCollection.Cancellations].map((collection) => ({
      collection,
      key: job.id,
    }));
    context.store.write({ partition: jobPartition(job.id), removals }).then(
      () => this.expired.add(job),
      (error: unknown) => {
        this.removing.delete(job);
        context.events.write('job-not-removed', { job: job.id, error: toError(error).message });
      },
    );
  }

  /** Starts a transaction when there is something to store. */
  flush(now: Instant): void {
    const { state } = this.options;
    if (this.writing || now < this.retryAt) {
      return;
    }
    if (state.dirty.size + this.unregistered.size + this.expired.size === 0) {
      for (const vm of state.vms.values()) {
        vm.settledThrough = vm.lastEnd;
      }
      return;
    }
    this.writing = true;
    this.store(this.collect())
      .catch((error: unknown) => this.fail(toError(error)))
      .finally(() => {
        this.writing = false;
      });
  }

  private collect(): ProgressBatch {
    const { state } = this.options;
    const occurrences = [...state.dirty].slice(0, ENTRIES_MAXIMUM);
    const room = ENTRIES_MAXIMUM - occurrences.length;
    const isWhole = occurrences.length === state.dirty.size;
    return {
      occurrences: occurrences.map((occurrence) => ({
        occurrence,
        row: encodeProgress(occurrence, state.unheard),
      })),
      runners: [...this.unregistered].slice(0, room),
      removedJobs: isWhole && this.unregistered.size === 0 ? this.removable(room) : [],
      ends: isWhole ? [...state.vms.values()].map((vm) => [vm, vm.lastEnd, vm.processId]) : [],
    };
  }

  private removable(room: number): JobRecord[] {
    const jobs: JobRecord[] = [];
    let entries = 0;
    for (const job of this.expired) {
      entries += progressRowsOf(job).length;
      if (entries > room) {
        break;
      }
      jobs.push(job);
    }
    return jobs;
  }

  private async store(batch: ProgressBatch): Promise<void> {
    const { context, lease, state } = this.options;
    batch.occurrences.forEach(({ occurrence }) => state.dirty.delete(occurrence));
    keepStoredVms(batch);
    const sentAt = context.clock.now();
    let isStored = false;
    try {
      const result = await context.store.write({
        partition: CELL_PARTITION,
        expected: [lease.expectation(), { ...COMMIT_ROW, version: this.commitVersion }],
        writes: [{ ...COMMIT_ROW, value: { epoch: lease.epoch } }, ...describeWrites(batch)],
        removals: batch.removedJobs.flatMap(progressRowsOf),
      });
      isStored = result.committed;
      if (result.committed) {
        this.commitVersion = result.version;
      } else {
        this.resolveConflict(result.conflicting);
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
    this.settle(batch);
  }

  /** A conflict on the commit row alone: an earlier transaction without an answer took effect. */
  private resolveConflict(conflicting: FeedRow[]): void {
    if (conflicting.some(({ key }) => key === OWNER_KEY)) {
      this.options.onDeposed();
    }
    const commit = conflicting.find(({ key }) => key === COMMIT_KEY);
    this.commitVersion = commit?.version ?? this.commitVersion;
  }

  private settle(batch: ProgressBatch): void {
    const { context, state } = this.options;
    this.retryDelayMs = RETRY_FIRST_MS;
    const now = context.clock.now();
    for (const { occurrence, row } of batch.occurrences) {
      const { state: stored, runners } = row;
      if (occurrence.storedState !== stored && isFinished(stored)) {
        const { job } = occurrence;
        const ageMs = Math.round(now - occurrence.dueAt);
        context.events.write('job-ended', {
          job: job.id,
          queue: job.policy.name,
          state: stored,
          ageMs,
        });
        context.metrics.recordLatency('job_time_ms', ageMs, { queue: job.policy.name });
      }
      occurrence.storedState = stored;
      occurrence.storedVms = new Set(runners);
      occurrence.dirty = state.dirty.has(occurrence);
      finishJob(occurrence.job, now);
    }
    for (const [vm, lastEnd, processId] of batch.ends) {
      if (vm.processId === processId && vm.lastEnd >= lastEnd) {
        vm.settledThrough = Math.max(vm.settledThrough, lastEnd);
      }
    }
    for (const [id, address] of batch.runners) {
      this.unregistered.delete(id);
      this.options.onRegistered(id, address);
    }
    for (const job of batch.removedJobs) {
      this.expired.delete(job);
      this.removing.delete(job);
      state.jobs.delete(job.id);
    }
    this.options.onStored();
  }

  private fail(error: Error): void {
    const { context } = this.options;
    this.retryAt = context.clock.now() + this.retryDelayMs;
    this.retryDelayMs = Math.min(RETRY_MAXIMUM_MS, this.retryDelayMs * RETRY_FACTOR);
    context.events.write('progress-write-failed', {
      error: error.message,
      retryMs: this.retryDelayMs,
    });
  }
}
