/**
 * Runs non-idempotent requests whose id the caller chose. A claim row names the attempt and the agent
 * before the attempt is sent. A retry, at this or another entry, finds the row and runs the request again
 * only if the agent proves that the attempt did not run.
 */
import { createHash } from 'node:crypto';
import { remainingMs, sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import { ClaimState, OutcomeCode, RequestOutcome, claimKey } from '@figjunction/types';
import type { ClaimRow } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { ClaimResultWriter, createResultFromClaim } from './claim-result-writer.js';
import { Claim, createTableUnavailableResult } from './claim.js';
import { ClaimStore } from './claim-store.js';
import type { VersionedClaim } from './claim-store.js';
import { createNotRunResult, createUnknownResult } from './interactive-request.js';
import type { InteractiveRequest, RequestResult } from './interactive-request.js';
import { RecentClaims } from './recent-claims.js';
import type { RequestRunner } from './request-runner.js';

/** A request that this entry is processing. */
interface InFlight {
  contentHash: string;
  result: Promise<RequestResult>;
}

const POLL_INTERVAL_MS = 50;
const INQUIRY_TIMEOUT_MS = 1_000;

/** A newly started entry discovers all agents within this time. */
const AGENT_DISCOVERY_MS = 1_500;

export class ClaimedRequests {
  private readonly inFlight = new Map<string, InFlight>();

  /** While the table is unavailable, recognises retries of requests that this entry sent. */
  private readonly recentClaims = new RecentClaims();

  private readonly store: ClaimStore;

  private readonly resultWriter: ClaimResultWriter;

  constructor(
    private readonly context: EntryContext,
    private readonly runner: RequestRunner,
  ) {
    this.store = new ClaimStore(context);
    this.resultWriter = new ClaimResultWriter(context);
  }

  async execute(request: InteractiveRequest): Promise<RequestResult> {
    const key = claimKey(request.team.name, request.requestId);
    const contentHash = computeContentHash(request);
    for (;;) {
      const other = this.inFlight.get(key);
      if (other === undefined) {
        return this.track(key, contentHash, this.executeWithClaim(key, contentHash, request));
      }
      if (other.contentHash !== contentHash) {
        return createIdReusedResult();
      }
      const result = await this.waitUntilDeadline(other.result, request);
      if (result === null || result.outcome === RequestOutcome.Completed) {
        return result ?? createInProgressResult();
      }
    }
  }

  flush(now: Instant): Promise<void> {
    return this.resultWriter.flush(now);
  }

  /** Writes the pending results to the table before a planned stop. */
  stop(): Promise<void> {
    return this.resultWriter.stop();
  }

  private track(
    key: string,
    contentHash: string,
    result: Promise<RequestResult>,
  ): Promise<RequestResult> {
    this.inFlight.set(key, { contentHash, result });
    return result.finally(() => this.inFlight.delete(key));
  }

  private async executeWithClaim(
    key: string,
    contentHash: string,
    request: InteractiveRequest,
  ): Promise<RequestResult> {
    let current: VersionedClaim | null;
    try {
      current = await this.store.read(key, request.deadline);
    } catch {
      const recentClaim = this.recentClaims.get(key);
      if (recentClaim === null) {
        return createTableUnavailableResult();
      }
      current = recentClaim;
    }
    for (;;) {
      const existingResult =
        current === null ? null : await this.resolveExistingClaim(current, contentHash, request);
      if (existingResult !== null) {
        return existingResult;
      }
      const claim = new Claim(key, contentHash, request, current, this.store, this.context);
      const result = await this.runWithClaim(claim, request);
      if (!claim.isSuperseded) {
        return result;
      }
      current = claim.supersededBy;
    }
  }

  private async runWithClaim(claim: Claim, request: InteractiveRequest): Promise<RequestResult> {
    const refusal = this.runner.admit(request);
    if (refusal !== null) {
      return refusal;
    }
    const result = await this.runner.run(request, (attempt, agent) => claim.write(attempt, agent));
    if (!claim.isSuperseded && claim.ownRow !== null) {
      this.recentClaims.add(claim.ownRow);
      this.resultWriter.record(claim.ownRow, result);
    }
    return result;
  }

  /** Returns the result of a request that has a claim, or null when it may be claimed again. */
  private async resolveExistingClaim(
    claim: VersionedClaim,
    contentHash: string,
    request: InteractiveRequest,
  ): Promise<RequestResult | null> {
    const { value } = claim;
    if (value.contentHash !== contentHash) {
      return createIdReusedResult();
    }
    if (value.state === ClaimState.Completed) {
      return createResultFromClaim(value);
    }
    if (value.state === ClaimState.NotRun) {
      return null;
    }
    const result = await this.queryAgent(value, request);
    if (result.outcome === RequestOutcome.NotRun) {
      return null;
    }
    if (result.outcome === RequestOutcome.Completed) {
      this.resultWriter.record(claim, result);
    }
    return result;
  }

  /** Sends inquiries to the agent of a claim until it returns the result or the deadline passes. */
  private async queryAgent(row: ClaimRow, request: InteractiveRequest): Promise<RequestResult> {
    const startedAt = this.context.clock.now();
    let wasReached = false;
    do {
      const agent = this.context.agents.get(row.agentId);
      if (agent !== undefined) {
        const { result, isReachable } = await this.runner.attemptRunner.client.resolve({
          agent: { ...agent, incarnation: row.agentIncarnation },
          attempt: row.attempt,
          responseTimeoutMs: Math.min(INQUIRY_TIMEOUT_MS, this.getRemainingMs(request)),
        });
        if (result !== null) {
          return result;
        }
        wasReached ||= isReachable;
      } else if (this.context.clock.now() - startedAt > AGENT_DISCOVERY_MS) {
        return createUnknownResult(
          OutcomeCode.ConnectionLost,
          'the agent that received the request is not known any more',
        );
      }
      await sleep(
        Math.min(POLL_INTERVAL_MS, this.getRemainingMs(request)),
        request.disconnectSignal,
      );
    } while (this.getRemainingMs(request) > 0 && !request.disconnectSignal.aborted);
    return wasReached
      ? createInProgressResult()
      : createUnknownResult(
          OutcomeCode.ConnectionLost,
          'the agent that received the request does not respond',
        );
  }

  private waitUntilDeadline(
    result: Promise<RequestResult>,
    request: InteractiveRequest,
  ): Promise<RequestResult | null> {
    const timeout = sleep(this.getRemainingMs(request), request.disconnectSignal).then(() => null);
    return Promise.race([result, timeout]);
  }

  private getRemainingMs(request: InteractiveRequest): number {
    return remainingMs(this.context.clock, request.deadline);
  }
}

function computeContentHash(request: InteractiveRequest): string {
  return createHash('sha256')
    .update(`${request.service.name}\n`)
    .update(request.body)
    .digest('hex');
}

function createIdReusedResult(): RequestResult {
  return createNotRunResult(
    OutcomeCode.RequestIdReused,
    'the request id was already used for a request with different content',
  );
}

function createInProgressResult(): RequestResult {
  return createUnknownResult(
    OutcomeCode.InProgress,
    'the request with this id is still in progress',
  );
}
