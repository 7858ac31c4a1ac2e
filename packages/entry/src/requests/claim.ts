/**
 * One entry's claim of one request.
 */
import { ABSENT_VERSION, ClaimState, OutcomeCode } from '@figjunction/types';
import type { AttemptId, ClaimRow } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import type { AgentAddress } from './attempt.js';
import type { ClaimStore, ClaimVersion } from './claim-store.js';
import { notRun } from './interactive-request.js';
import type { InteractiveRequest, RequestEnd } from './interactive-request.js';

export function tableUnavailable(): RequestEnd {
  return notRun(OutcomeCode.TableUnavailable, 'the claim of the request cannot be written');
}

/** The claim of one request by this entry, moved from attempt to attempt. */
export class Claim {
  /** The row as this entry last wrote it. */
  taken: ClaimVersion | null = null;

  isOvertaken = false;

  /** The row of another entry that took the request over; null when the row was deleted. */
  overtakenBy: ClaimVersion | null = null;

  constructor(
    private readonly key: string,
    private readonly contentHash: string,
    private readonly request: InteractiveRequest,
    private readonly replaced: ClaimVersion | null,
    private readonly store: ClaimStore,
    private readonly context: EntryContext,
  ) {}

  /** Names the next attempt in the row; an end when it must not be sent. */
  async take(attempt: AttemptId, agent: AgentAddress): Promise<RequestEnd | null> {
    const expected = (this.taken ?? this.replaced)?.version ?? ABSENT_VERSION;
    try {
      const row = this.rowOf(attempt, agent);
      const result = await this.store.write(this.key, expected, row, this.request.deadline);
      if (result.written) {
        this.taken = result.row;
        return null;
      }
      this.isOvertaken = true;
      this.overtakenBy = result.current;
      return notRun(OutcomeCode.InProgress, 'another entry took the request over');
    } catch {
      return tableUnavailable();
    }
  }

  private rowOf(attempt: AttemptId, agent: AgentAddress): Omit<ClaimRow, 'writeId'> {
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
