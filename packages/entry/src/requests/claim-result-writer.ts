/**
 * Writes the results of claimed requests into their rows, in batches in the background. The caller already
 * has the response. Until the row is written, a retry requests the result from the agent.
 */
import { WriteBatcher } from '@figjunction/store';
import { deadlineAfter } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import { ClaimState, OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { ClaimRow } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import type { VersionedClaim } from './claim-store.js';
import type { RequestResult } from './interactive-request.js';

/** The table does not store larger response bodies. */
const BODY_BYTES_MAXIMUM = 16 * 1024;

/** Agents keep results for 30 s; a later write would store a result that they have already deleted. */
const WRITE_TIMEOUT_MS = 30_000;

/** Timeout of the last writes during a planned stop. */
const STOP_TIMEOUT_MS = 5_000;

/** Further results are dropped, since the agents still have them. */
const PENDING_WRITES_MAXIMUM = 10_000;

const CLAIM_STATE_BY_OUTCOME: Record<RequestOutcome, ClaimState> = {
  [RequestOutcome.Completed]: ClaimState.Completed,
  [RequestOutcome.NotRun]: ClaimState.NotRun,
  [RequestOutcome.Unknown]: ClaimState.Unknown,
};

export class ClaimResultWriter {
  private readonly batcher: WriteBatcher;

  constructor(private readonly context: EntryContext) {
    const { table, clock, random } = context;
    this.batcher = new WriteBatcher({ table, clock, random });
  }

  /** Queues the result for the next flush. */
  record(claim: VersionedClaim, result: RequestResult): void {
    const { clock, metrics } = this.context;
    if (this.batcher.pendingCount >= PENDING_WRITES_MAXIMUM) {
      metrics.count('claim_ends_dropped_total');
      return;
    }
    const write = this.batcher.submit({
      key: claim.key,
      expectedVersion: claim.version,
      value: createCompletedRow(claim.value, result),
      deadline: deadlineAfter(clock, WRITE_TIMEOUT_MS),
    });
    // A conflict means that another entry requested the result from the agent and wrote the row.
    write.catch(() => metrics.count('claim_end_write_failures_total'));
  }

  flush(now: Instant): Promise<void> {
    return this.batcher.flush(now);
  }

  async stop(): Promise<void> {
    await this.batcher.drain(deadlineAfter(this.context.clock, STOP_TIMEOUT_MS));
  }
}

/** The result that the row of a completed request contains. */
export function createResultFromClaim(row: ClaimRow): RequestResult {
  const { status, contentType, bodyBase64 } = row;
  const isBodyStored = bodyBase64 !== null;
  return {
    outcome: RequestOutcome.Completed,
    code: isBodyStored ? OutcomeCode.Ok : OutcomeCode.AnswerNotKept,
    message: isBodyStored ? '' : 'the request completed and its response was not stored',
    status,
    contentType,
    bodyBase64,
  };
}

function createCompletedRow(claimed: ClaimRow, result: RequestResult): ClaimRow {
  const bytes = Buffer.byteLength(result.bodyBase64 ?? '', 'base64');
  const isBodyStored = result.outcome === RequestOutcome.Completed && bytes <= BODY_BYTES_MAXIMUM;
  return {
    ...claimed,
    state: CLAIM_STATE_BY_OUTCOME[result.outcome],
    status: result.status,
    contentType: result.contentType,
    bodyBase64: isBodyStored ? result.bodyBase64 : null,
  };
}
