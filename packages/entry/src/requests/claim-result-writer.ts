/**
 * Writes the ends of claimed requests into their rows, in the background and many at a time: the caller
 * has the answer already, and until the row is written a repetition asks the agent.
 */
import { WriteBatcher } from '@figjunction/store';
import { deadlineAfter } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import { ClaimState, OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { ClaimRow } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import type { ClaimVersion } from './claim-store.js';
import type { RequestEnd } from './interactive-request.js';

/** Larger answers are not kept in the table. */
const ANSWER_BYTES_MAXIMUM = 16 * 1024;

/** Agents keep results for 30 s; a later write would only repeat what they forgot. */
const WRITE_MS = 30_000;

/** Time for the last writes at a planned stop. */
const STOP_MS = 5_000;

/** Ends waiting for the table; more are dropped, since the agents still know them. */
const PENDING_MAXIMUM = 10_000;

const STATE_OF_OUTCOME: Record<RequestOutcome, ClaimState> = {
  [RequestOutcome.Completed]: ClaimState.Completed,
  [RequestOutcome.NotRun]: ClaimState.NotRun,
  [RequestOutcome.Unknown]: ClaimState.Unknown,
};

export class ClaimCompletion {
  private readonly batcher: WriteBatcher;

  constructor(private readonly context: EntryContext) {
    const { table, clock, random } = context;
    this.batcher = new WriteBatcher({ table, clock, random });
  }

  record(claim: ClaimVersion, end: RequestEnd): void {
    const { clock, metrics } = this.context;
    if (this.batcher.pending >= PENDING_MAXIMUM) {
      metrics.count('claim_ends_dropped_total');
      return;
    }
    const write = this.batcher.submit({
      key: claim.key,
      expectedVersion: claim.version,
      value: completedRow(claim.value, end),
      deadline: deadlineAfter(clock, WRITE_MS),
    });
    // A conflict means that another entry wrote the row after asking the agent.
    write.catch(() => metrics.count('claim_end_write_failures_total'));
  }

  flush(now: Instant): Promise<void> {
    return this.batcher.flush(now);
  }

  async stop(): Promise<void> {
    await this.batcher.drain(deadlineAfter(this.context.clock, STOP_MS));
  }
}

export function answerOfClaim(row: ClaimRow): RequestEnd {
  const { status, contentType, bodyBase64 } = row;
  const isKept = bodyBase64 !== null;
  return {
    outcome: RequestOutcome.Completed,
    code: isKept ? OutcomeCode.Ok : OutcomeCode.AnswerNotKept,
    message: isKept ? '' : 'the request completed and its answer was not kept',
    status,
    contentType,
    bodyBase64,
  };
}

function completedRow(claimed: ClaimRow, end: RequestEnd): ClaimRow {
  const bytes = Buffer.byteLength(end.bodyBase64 ?? '', 'base64');
  const isKept = end.outcome === RequestOutcome.Completed && bytes <= ANSWER_BYTES_MAXIMUM;
  return {
    ...claimed,
    state: STATE_OF_OUTCOME[end.outcome],
    status: end.status,
    contentType: end.contentType,
    bodyBase64: isKept ? end.bodyBase64 : null,
  };
}
