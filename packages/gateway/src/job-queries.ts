/**
 * Shows the state of jobs: from the scheduler, and from the store when the scheduler does not answer or
 * does not know the job yet.
 */
import { ErrorCode, toError } from '@figjunction/errors';
import { CELL_PARTITION, CellCollection, jobPartition } from '@figjunction/scheduler';
import { sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import { JobState, RpcMethod } from '@figjunction/types';
import type { JobId, JobRow, JobStatesResult, ProgressRow, RpcMethods } from '@figjunction/types';
import type { GatewayContext } from './gateway-context.js';
import { GatewayError } from './gateway-error.js';

/** Questions that arrive within this time go to the scheduler in one call. */
const GATHER_MS = 4;
const CALL_TIMEOUT_MS = 500;
const PENDING_FRESH_MS = 400;
/** Counts of pending jobs may be this old. */
const PENDING_MAXIMUM_AGE_MS = 1_800;

interface Gathered {
  jobIds: JobId[];
  result: Promise<JobStatesResult>;
}

export class JobQueries {
  private gathered: Gathered | null = null;

  private pending: { counts: Record<string, number>; at: Instant } | null = null;

  private pendingCall: Promise<void> | null = null;

  private useNewConnection = false;

  constructor(private readonly context: GatewayContext) {}

  /** Null when no such job exists. */
  async stateOf(jobId: JobId): Promise<JobState | null> {
    const state = await this.askScheduler(jobId);
    return state ?? this.readState(jobId);
  }

  async exists(jobId: JobId): Promise<boolean> {
    return (await this.readJob(jobId)) !== null;
  }

  /** Accepted jobs of a queue without a started task. */
  async pendingCount(queue: string): Promise<number> {
    const { clock } = this.context;
    if (this.pending === null || clock.now() - this.pending.at > PENDING_FRESH_MS) {
      this.pendingCall ??= this.refreshPending().finally(() => {
        this.pendingCall = null;
      });
      await this.pendingCall;
    }
    if (this.pending === null || clock.now() - this.pending.at > PENDING_MAXIMUM_AGE_MS) {
      throw new GatewayError('the number of pending jobs is not known', {
        code: ErrorCode.Unavailable,
      });
    }
    return this.pending.counts[queue] ?? 0;
  }

  private async refreshPending(): Promise<void> {
    const { clock, events } = this.context;
    const askedAt = clock.now();
    try {
      const { counts } = await this.call(RpcMethod.PendingCounts, {});
      if (counts === null) {
        await this.lookForScheduler();
      } else {
        this.pending = { counts, at: askedAt };
      }
    } catch (error) {
      events.write('pending-not-known', { error: toError(error).message });
      await this.lookForScheduler();
    }
  }

  private async askScheduler(jobId: JobId): Promise<JobState | null> {
    this.gathered ??= this.gather();
    const { jobIds, result } = this.gathered;
    const position = jobIds.push(jobId) - 1;
    try {
      return (await result).states[position] ?? null;
    } catch (error) {
      const { message } = toError(error);
      this.context.events.write('scheduler-not-heard', { job: jobId, error: message });
      await this.lookForScheduler();
      return null;
    }
  }

  private gather(): Gathered {
    const jobIds: JobId[] = [];
    const result = sleep(GATHER_MS).then(() => {
      this.gathered = null;
      return this.call(RpcMethod.JobStates, { jobIds });
    });
    return { jobIds, result };
  }

  private async call<Method extends RpcMethod.JobStates | RpcMethod.PendingCounts>(
    method: Method,
    parameters: RpcMethods[Method]['parameters'],
  ): Promise<RpcMethods[Method]['result']> {
    const { directory, rpc } = this.context;
    if (directory.owner === null) {
      throw new GatewayError('no scheduler is known', { code: ErrorCode.Unavailable });
    }
    try {
      const options = { timeoutMs: CALL_TIMEOUT_MS, newConnection: this.useNewConnection };
      const result = await rpc.call(directory.owner.address, method, parameters, options);
      this.useNewConnection = false;
      return result;
    } catch (error) {
      this.useNewConnection = true;
      throw error;
    }
  }

  private async lookForScheduler(): Promise<void> {
    try {
      await this.context.directory.refresh();
    } catch (error) {
      this.context.events.write('owner-unknown', { error: toError(error).message });
    }
  }

  private async readJob(jobId: JobId): Promise<JobRow | null> {
    const { rows } = await this.context.store.readRange<JobRow>({
      collection: CellCollection.Jobs,
      partition: jobPartition(jobId),
      from: jobId,
      until: `${jobId}~`,
    });
    return rows.find(({ key }) => key === jobId)?.value ?? null;
  }

  private async readState(jobId: JobId): Promise<JobState | null> {
    const { store, events } = this.context;
    const job = await this.readJob(jobId);
    if (job === null) {
      return null;
    }
    const { rows } = await store.readRange<ProgressRow>({
      collection: CellCollection.Progress,
      partition: CELL_PARTITION,
      from: `${jobId}.`,
      until: `${jobId}.~`,
    });
    const state = stateFromRows(
      job,
      rows.flatMap(({ value }) => (value === null ? [] : [value])),
    );
    events.write('state-from-store', { job: jobId, state, rows: rows.length });
    return state;
  }
}

function stateFromRows(job: JobRow, rows: ProgressRow[]): JobState {
  const ended = rows.find(({ state }) => state === JobState.Failed || state === JobState.Cancelled);
  if (ended !== undefined) {
    return ended.state;
  }
  const expected = Math.max(1, job.specification.occurrences);
  const completed = rows.filter(({ state }) => state === JobState.Completed).length;
  if (completed === expected) {
    return JobState.Completed;
  }
  return rows.length > 0 ? JobState.Running : JobState.Queued;
}
