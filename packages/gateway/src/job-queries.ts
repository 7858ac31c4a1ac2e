/**
 * Reads the state of jobs from the scheduler, or from the store when the scheduler does not respond or does
 * not know the job yet.
 */
import { ErrorCode, toError } from '@figjunction/errors';
import {
  CELL_PARTITION,
  CellCollection,
  StoredRows,
  jobPartition,
  jobRowSchema,
  progressRowSchema,
} from '@figjunction/scheduler';
import { sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import { JobState, RpcMethod } from '@figjunction/types';
import type { JobId, JobRow, JobStatesResult, ProgressRow, RpcMethods } from '@figjunction/types';
import type { GatewayContext } from './gateway-context.js';
import { GatewayError } from './gateway-error.js';

/** Queries that arrive within this time are sent to the scheduler in one call. */
const BATCH_WINDOW_MS = 4;
/** Timeout of a call to the scheduler. */
const CALL_TIMEOUT_MS = 500;
/** Counts of pending jobs are fetched again when they are older than this. */
const PENDING_REFRESH_MS = 400;
/** Older counts of pending jobs are not returned to callers. */
const PENDING_MAXIMUM_AGE_MS = 1_800;

/** Queries for job states that are sent in one call. */
interface StateBatch {
  jobIds: JobId[];
  result: Promise<JobStatesResult>;
}

export class JobQueries {
  private openBatch: StateBatch | null = null;

  private pending: { counts: Record<string, number>; at: Instant } | null = null;

  private pendingCall: Promise<void> | null = null;

  private readonly storedRows: StoredRows;

  constructor(private readonly context: GatewayContext) {
    this.storedRows = new StoredRows(context.events);
  }

  /** Returns null when no such job exists. Throws when neither the scheduler nor the store responds. */
  async getState(jobId: JobId): Promise<JobState | null> {
    const state = await this.fetchFromScheduler(jobId);
    return state ?? this.readStateFromStore(jobId);
  }

  /** Returns the version of the job's row in the store; null when no such job exists. */
  async readVersion(jobId: JobId): Promise<number | null> {
    return (await this.readJobRow(jobId))?.version ?? null;
  }

  /**
   * The number of accepted jobs of a queue that have no started task.
   * @throws GatewayError when no recent count is available.
   */
  async countPendingJobs(queue: string): Promise<number> {
    const { clock } = this.context;
    if (this.pending === null || clock.now() - this.pending.at > PENDING_REFRESH_MS) {
      this.pendingCall ??= this.refreshPending().finally(() => {
        this.pendingCall = null;
      });
      await this.pendingCall;
    }
    if (this.pending === null || clock.now() - this.pending.at > PENDING_MAXIMUM_AGE_MS) {
      throw new GatewayError(
        'the number of pending jobs is unknown: no recent count from the scheduler',
        {
          code: ErrorCode.Unavailable,
        },
      );
    }
    return this.pending.counts[queue] ?? 0;
  }

  private async refreshPending(): Promise<void> {
    const { clock, events } = this.context;
    const requestedAt = clock.now();
    try {
      const { counts } = await this.callScheduler(RpcMethod.PendingCounts, {});
      if (counts === null) {
        await this.refreshOwner();
      } else {
        this.pending = { counts, at: requestedAt };
      }
    } catch (error) {
      events.write('pending-not-known', { error: toError(error).message });
      await this.refreshOwner();
    }
  }

  private async fetchFromScheduler(jobId: JobId): Promise<JobState | null> {
    this.openBatch ??= this.createBatch();
    const { jobIds, result } = this.openBatch;
    const position = jobIds.push(jobId) - 1;
    try {
      return (await result).states[position] ?? null;
    } catch (error) {
      const { message } = toError(error);
      this.context.events.write('scheduler-not-heard', { job: jobId, error: message });
      await this.refreshOwner();
      return null;
    }
  }

  private createBatch(): StateBatch {
    const jobIds: JobId[] = [];
    const result = sleep(BATCH_WINDOW_MS).then(() => {
      this.openBatch = null;
      return this.callScheduler(RpcMethod.JobStates, { jobIds });
    });
    return { jobIds, result };
  }

  private async callScheduler<Method extends RpcMethod.JobStates | RpcMethod.PendingCounts>(
    method: Method,
    parameters: RpcMethods[Method]['parameters'],
  ): Promise<RpcMethods[Method]['result']> {
    const { directory, rpc } = this.context;
    if (directory.owner === null) {
      throw new GatewayError('the address of the scheduler is unknown', {
        code: ErrorCode.Unavailable,
      });
    }
    return rpc.call(directory.owner.address, method, parameters, { timeoutMs: CALL_TIMEOUT_MS });
  }

  private async refreshOwner(): Promise<void> {
    try {
      await this.context.directory.refresh();
    } catch (error) {
      this.context.events.write('owner-unknown', { error: toError(error).message });
    }
  }

  private async readJobRow(jobId: JobId): Promise<{ value: JobRow; version: number } | null> {
    const collection = CellCollection.Jobs;
    const { rows } = await this.context.store.readRange({
      collection,
      partition: jobPartition(jobId),
      from: jobId,
      until: `${jobId}~`,
    });
    const row = rows.find(({ key }) => key === jobId);
    const value = this.storedRows.decodeValue(collection, row, jobRowSchema);
    return row === undefined || value === null ? null : { value, version: row.version };
  }

  private async readStateFromStore(jobId: JobId): Promise<JobState | null> {
    const { store, events } = this.context;
    const job = await this.readJobRow(jobId);
    if (job === null) {
      return null;
    }
    const collection = CellCollection.Progress;
    const { rows } = await store.readRange({
      collection,
      partition: CELL_PARTITION,
      from: `${jobId}.`,
      until: `${jobId}.~`,
    });
    const progressRows = this.storedRows.decode(collection, rows, progressRowSchema);
    const state = deriveState(
      job.value,
      progressRows.flatMap(({ value }) => (value === null ? [] : [value])),
    );
    events.write('state-from-store', { job: jobId, state, rows: rows.length });
    return state;
  }
}

function deriveState(job: JobRow, rows: ProgressRow[]): JobState {
  const endedRow = rows.find(
    ({ state }) => state === JobState.Failed || state === JobState.Cancelled,
  );
  if (endedRow !== undefined) {
    return endedRow.state;
  }
  const occurrenceCount = Math.max(1, job.specification.occurrences);
  const completedCount = rows.filter(({ state }) => state === JobState.Completed).length;
  if (completedCount === occurrenceCount) {
    return JobState.Completed;
  }
  return rows.length > 0 ? JobState.Running : JobState.Queued;
}
