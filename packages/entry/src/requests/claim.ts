/**
 * The claim row of one request: it reserves the request for this entry and names the current attempt.
 */
import { ABSENT_VERSION, ClaimState, OutcomeCode } from '@figjunction/types';
import type { AttemptId, ClaimRow } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import type { AgentAddress } from './attempt.js';
import type { ClaimStore, VersionedClaim } from './claim-store.js';
import { createNotRunResult } from './interactive-request.js';
import type { InteractiveRequest, RequestResult } from './interactive-request.js';

export function createTableUnavailableResult(): RequestResult {
  return createNotRunResult(
    OutcomeCode.TableUnavailable,
    'the claim of the request cannot be written to the table',
  );
}

/** The claim of one request by this entry. Each attempt updates its row. */
export class Claim {
  /** The row as this entry last wrote it. */
  ownRow: VersionedClaim | null = null;

  /** True after a write failed because the row had been replaced or deleted. */
  isSuperseded = false;

  /** The row that another entry wrote instead; null when the row was deleted. */
  supersededBy: VersionedClaim | null = null;

  constructor(
    private readonly key: string,
    private readonly contentHash: string,
    private readonly request: InteractiveRequest,
    private readonly previousRow: VersionedClaim | null,
    private readonly store: ClaimStore,
    private readonly context: EntryContext,
  ) {}

  /** Writes the next attempt into the row. Returns a result when the attempt must not be sent. */
  async write(attempt: AttemptId, agent: AgentAddress): Promise<RequestResult | null> {
    const expectedVersion = (this.ownRow ?? this.previousRow)?.version ?? ABSENT_VERSION;
    try {
      const row = this.createRow(attempt, agent);
      const result = await this.store.write(this.key, expectedVersion, row, this.request.deadline);
      if (result.written) {
        this.ownRow = result.row;
        return null;
      }
      this.isSuperseded = true;
      this.supersededBy = result.current;
      return createNotRunResult(OutcomeCode.InProgress, 'another entry has claimed the request');
    } catch {
      return createTableUnavailableResult();
    }
  }

  private createRow(attempt: AttemptId, agent: AgentAddress): Omit<ClaimRow, 'writeId'> {
    return {
      team: this.request.team.name,
      requestId: this.request.requestId,
      state: ClaimState.Claimed,
      contentHash: this.contentHash,
      attempt,
      agentId: agent.agentId,
      agentIncarnation: agent.incarnation,
      status: null,
      contentType: null,
      bodyBase64: null,
      claimedAtMs: this.context.clock.wallTimeMs(),
    };
  }
}
