/**
 * One interactive request after validation, and its result.
 */
import type { ServiceConfiguration, TeamConfiguration } from '@figjunction/config';
import type { Instant } from '@figjunction/time';
import { OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { AttemptResult, RequestId, UrgencyClassName } from '@figjunction/types';

export interface InteractiveRequest {
  requestId: RequestId;
  /** Whether the caller chose the id, so that a retry can be recognised. */
  isIdFromCaller: boolean;
  isIdempotent: boolean;
  service: ServiceConfiguration;
  team: TeamConfiguration;
  urgency: UrgencyClassName;
  arrivedAt: Instant;
  deadline: Instant;
  contentType: string;
  body: Buffer;
  /** Aborts when the caller disconnects. */
  disconnectSignal: AbortSignal;
}

/**
 * Reason passed to the abort signals of a request. Without a reason, every abort creates an exception with
 * a stack trace, which took 7 % of an entry's processor time under a flood of requests.
 */
export const ABORT_REASON = 'ended';

/** Result of a request or an attempt, without the load of the agent. */
export type RequestResult = Omit<AttemptResult, 'slotsUsed'>;

export function createNotRunResult(code: OutcomeCode, message: string): RequestResult {
  return createResultWithoutBody(RequestOutcome.NotRun, code, message);
}

export function createUnknownResult(code: OutcomeCode, message: string): RequestResult {
  return createResultWithoutBody(RequestOutcome.Unknown, code, message);
}

function createResultWithoutBody(
  outcome: RequestOutcome,
  code: OutcomeCode,
  message: string,
): RequestResult {
  return { outcome, code, message, status: null, contentType: null, bodyBase64: null };
}
