/**
 * Writes the ends of claimed requests into their rows, in the background: the caller has the answer
 * already, and until the row is written a repetition asks the agent.
 */
import { ErrorCode, errorCodeOf } from '@figjunction/errors';
import { deadlineAfter, sleep } from '@figjunction/time';
import { ClaimState, OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { ClaimRow } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import type { ClaimStore, ClaimVersion } from './claim-store.js';
import type { RequestEnd } from './interactive-request.js';

/** Larger answers are not kept in the table. */
export const ANSWER_BYTES_MAXIMUM = 16 * 1024;

const WRITE_MS = 5_000;
const RETRY_MS = 1_000;

/** Agents keep results for 30 s, so that a later write would only repeat what is known. */
const TRIES_MAXIMUM = 30;

/** Ends waiting for the table; more are dropped, since the agents still know them. */
const PENDING_MAXIMUM = 10_000;

const STATE_OF_OUTCOME: Record<RequestOutcome, ClaimState> = {
  [RequestOutcome.Completed]: ClaimState.Completed,
  [RequestOutcome.NotRun]: ClaimState.NotRun,
  [RequestOutcome.Unknown]: ClaimState.Unknown,
};

export class ClaimCompletion {
  private readonly pending = new Set<Promise<void>>();

  constructor(
    private readonly context: EntryContext,
    private readonly store: ClaimStore,
  ) {}

  record(claim: ClaimVersion, end: RequestEnd): void {
    if (this.pending.size >= PENDING_MAXIMUM) {
      this.context.metrics.count('claim_ends_dropped_total');
      return;
    }
    const work = this.write(claim, completedRow(claim.value, end)).finally(() =>
      this.pending.delete(work),
    );
    this.pending.add(work);
  }

  async idle(): Promise<void> {
    await Promise.all(this.pending);
  }

  private async write(claim: ClaimVersion, row: ClaimRow): Promise<void> {
    const { clock, metrics, random } = this.context;
    for (let tries = 1; tries <= TRIES_MAXIMUM; tries += 1) {
      try {
        // A conflict means that another entry wrote the row after asking the agent.
        await this.store.write(claim.key, claim.version, row, deadlineAfter(clock, WRITE_MS));
        return;
      } catch (error) {
        metrics.count('claim_end_write_failures_total');
        if (errorCodeOf(error) !== ErrorCode.Unavailable) {
          return;
        }
        await sleep(random.jitter(RETRY_MS));
      }
    }
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
