/**
 * Non-idempotent requests with an id of the caller's choice. A claim row names the attempt and the agent
 * before anything is sent; a repetition, here or at another entry, finds the row and never runs the
 * request again unless the agent proves that the attempt did not run.
 */
import { createHash } from 'node:crypto';
import { remainingMs, sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import { ClaimState, OutcomeCode, RequestOutcome, claimKey } from '@figjunction/types';
import type { ClaimRow } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { ClaimCompletion, answerOfClaim } from './claim-result-writer.js';
import { Claim, tableUnavailable } from './claim.js';
import { ClaimStore } from './claim-store.js';
import type { ClaimVersion } from './claim-store.js';
import { notRun, unknown } from './interactive-request.js';
import type { InteractiveRequest, RequestEnd } from './interactive-request.js';
import { RecentClaims } from './recent-claims.js';
import type { RequestRunner } from './request-runner.js';

/** A request that this entry works on. */
interface InFlight {
  contentHash: string;
  end: Promise<RequestEnd>;
}

const POLL_MS = 50;
const QUESTION_MS = 1_000;

/** An entry that just started hears of every agent within this time. */
const ANNOUNCEMENT_MS = 1_500;

export class ClaimedRequests {
  private readonly inFlight = new Map<string, InFlight>();

  /** Without the table, a repetition of a request that this entry sent is still not taken for a new one. */
  private readonly recent = new RecentClaims();

  private readonly store: ClaimStore;

  private readonly completion: ClaimCompletion;

  constructor(
    private readonly context: EntryContext,
    private readonly runner: RequestRunner,
  ) {
    this.store = new ClaimStore(context);
    this.completion = new ClaimCompletion(context);
  }

  async execute(request: InteractiveRequest): Promise<RequestEnd> {
    const key = claimKey(request.team.name, request.requestId);
    const contentHash = contentHashOf(request);
    for (;;) {
      const other = this.inFlight.get(key);
      if (other === undefined) {
        return this.track(key, contentHash, this.resolve(key, contentHash, request));
      }
      if (other.contentHash !== contentHash) {
        return idReused();
      }
      const end = await this.waitFor(other.end, request);
      if (end === null || end.outcome === RequestOutcome.Completed) {
        return end ?? inProgress();
      }
    }
  }

  flush(now: Instant): Promise<void> {
    return this.completion.flush(now);
  }

  /** Writes the ends of requests into the table, for a planned stop. */
  stop(): Promise<void> {
    return this.completion.stop();
  }

  private track(key: string, contentHash: string, end: Promise<RequestEnd>): Promise<RequestEnd> {
    this.inFlight.set(key, { contentHash, end });
    return end.finally(() => this.inFlight.delete(key));
  }

  private async resolve(
    key: string,
    contentHash: string,
    request: InteractiveRequest,
  ): Promise<RequestEnd> {
    let current: ClaimVersion | null;
    try {
      current = await this.store.read(key, request.deadline);
    } catch {
      const known = this.recent.get(key);
      if (known === null) {
        return tableUnavailable();
      }
      current = known;
    }
    for (;;) {
      const settled = current === null ? null : await this.settle(current, contentHash, request);
      if (settled !== null) {
        return settled;
      }
      const claim = new Claim(key, contentHash, request, current, this.store, this.context);
      const end = await this.runWith(claim, request);
      if (!claim.isOvertaken) {
        return end;
      }
      current = claim.overtakenBy;
    }
  }

  private async runWith(claim: Claim, request: InteractiveRequest): Promise<RequestEnd> {
    const refusal = this.runner.admit(request);
    if (refusal !== null) {
      return refusal;
    }
    const end = await this.runner.run(request, (attempt, agent) => claim.take(attempt, agent));
    if (!claim.isOvertaken && claim.taken !== null) {
      this.recent.note(claim.taken);
      this.completion.record(claim.taken, end);
    }
    return end;
  }

  /** The end of a request whose claim exists; null when it may be claimed again. */
  private async settle(
    claim: ClaimVersion,
    contentHash: string,
    request: InteractiveRequest,
  ): Promise<RequestEnd | null> {
    const { value } = claim;
    if (value.contentHash !== contentHash) {
      return idReused();
    }
    if (value.state === ClaimState.Completed) {
      return answerOfClaim(value);
    }
    if (value.state === ClaimState.NotRun) {
      return null;
    }
    const end = await this.askAgent(value, request);
    if (end.outcome === RequestOutcome.NotRun) {
      return null;
    }
    if (end.outcome === RequestOutcome.Completed) {
      this.completion.record(claim, end);
    }
    return end;
  }

  private async askAgent(row: ClaimRow, request: InteractiveRequest): Promise<RequestEnd> {
    const startedAt = this.context.clock.now();
    let wasReached = false;
    do {
      const agent = this.context.agents.get(row.agentId);
      if (agent !== undefined) {
        const { end, reached } = await this.runner.attempts.client.settle({
          agent: { ...agent, incarnation: row.agentIncarnation },
          attempt: row.attempt,
          silenceBoundMs: Math.min(QUESTION_MS, this.leftMs(request)),
        });
        if (end !== null) {
          return end;
        }
        wasReached ||= reached;
      } else if (this.context.clock.now() - startedAt > ANNOUNCEMENT_MS) {
        return unknown(OutcomeCode.ConnectionLost, 'the agent that had the request is gone');
      }
      await sleep(Math.min(POLL_MS, this.leftMs(request)), request.callerGone);
    } while (this.leftMs(request) > 0 && !request.callerGone.aborted);
    return wasReached
      ? inProgress()
      : unknown(OutcomeCode.ConnectionLost, 'the agent that had the request does not answer');
  }

  private waitFor(
    end: Promise<RequestEnd>,
    request: InteractiveRequest,
  ): Promise<RequestEnd | null> {
    const late = sleep(this.leftMs(request), request.callerGone).then(() => null);
    return Promise.race([end, late]);
  }

  private leftMs(request: InteractiveRequest): number {
    return remainingMs(this.context.clock, request.deadline);
  }
}

function contentHashOf(request: InteractiveRequest): string {
  return createHash('sha256')
    .update(`${request.service.name}\n`)
    .update(request.body)
    .digest('hex');
}

function idReused(): RequestEnd {
  return notRun(OutcomeCode.RequestIdReused, 'the request id was used with other content');
}

function inProgress(): RequestEnd {
  return unknown(OutcomeCode.InProgress, 'the request with this id is still in progress');
}
