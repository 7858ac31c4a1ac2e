/**
 * One interactive request as the entry understood it, and how it ended.
 */
import type { ServiceConfiguration, TeamConfiguration } from '@figjunction/config';
import type { Instant } from '@figjunction/time';
import { OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { AttemptResult, RequestId, UrgencyClassName } from '@figjunction/types';

export interface InteractiveRequest {
  requestId: RequestId;
  /** Whether the caller chose the id, so that a repetition can be recognised. */
  idFromCaller: boolean;
  idempotent: boolean;
  service: ServiceConfiguration;
  team: TeamConfiguration;
  urgency: UrgencyClassName;
  arrivedAt: Instant;
  deadline: Instant;
  contentType: string;
  body: Buffer;
  /** Aborts when the caller goes away. */
  callerGone: AbortSignal;
}

/**
 * Reason of the abort signals of a request. Without a reason every abort creates an exception with its
 * stack, which took 7 % of an entry's busy time in a flood.
 */
export const ENDED = 'ended';

/** How a request or an attempt ended, without the agent's load. */
export type RequestEnd = Omit<AttemptResult, 'slotsUsed'>;

export function notRun(code: OutcomeCode, message: string): RequestEnd {
  return endWithoutAnswer(RequestOutcome.NotRun, code, message);
}

export function unknown(code: OutcomeCode, message: string): RequestEnd {
  return endWithoutAnswer(RequestOutcome.Unknown, code, message);
}

function endWithoutAnswer(outcome: RequestOutcome, code: OutcomeCode, message: string): RequestEnd {
  return { outcome, code, message, status: null, contentType: null, bodyBase64: null };
}
