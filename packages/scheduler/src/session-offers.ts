/**
 * Offers sessions to runners. A runner opens a session by naming an offer in the report after it. A report that
 * was delayed in the network cannot name the last offer, so its old list opens no session.
 */
import type { Instant } from '@figjunction/time';
import type { AgentId, ReportParameters } from '@figjunction/types';

/** A report that names its offer later than this may hold a list that is no longer true. */
const OFFER_VALIDITY_MS = 3_000;

interface SessionOffer {
  session: number;
  processId: string;
  validUntil: Instant;
}

export class SessionOffers {
  private lastSession = 0;

  /** The last offer to each runner. */
  private readonly offers = new Map<AgentId, SessionOffer>();

  /** Offers a new session to the process that sent the report, in place of any offer to its runner before. */
  create({ agentId, processId }: ReportParameters, now: Instant): number {
    this.lastSession += 1;
    const session = this.lastSession;
    this.offers.set(agentId, { session, processId, validUntil: now + OFFER_VALIDITY_MS });
    return session;
  }

  /** Returns the session that the report may open and ends its offer; null if it names no valid offer. */
  accept(report: ReportParameters, now: Instant): number | null {
    const { agentId, processId, offeredSession } = report;
    const offer = this.offers.get(agentId);
    const isValid =
      offer !== undefined &&
      offer.session === offeredSession &&
      offer.processId === processId &&
      now < offer.validUntil;
    if (!isValid) {
      return null;
    }
    this.offers.delete(agentId);
    return offeredSession;
  }

  /** Ends the offer to a runner. */
  withdraw(agentId: AgentId): void {
    this.offers.delete(agentId);
  }
}
