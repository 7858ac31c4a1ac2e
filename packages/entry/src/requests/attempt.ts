/**
 * The inputs of one attempt to run a request at an agent, and the results it can have.
 */
import { sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import { OutcomeCode } from '@figjunction/types';
import type {
  AgentId,
  AgentIncarnation,
  AttemptId,
  AttemptResult,
  AttemptRunParameters,
  RequestId,
} from '@figjunction/types';
import { ABORT_REASON, createNotRunResult, createUnknownResult } from './interactive-request.js';
import type { RequestResult } from './interactive-request.js';

/** The agent process that an attempt is sent to. The incarnation changes with each restart. */
export interface AgentAddress {
  agentId: AgentId;
  incarnation: AgentIncarnation;
  address: string;
}

/** Everything that `AttemptClient` needs to send one attempt. */
export interface AttemptSpecification {
  agent: AgentAddress;
  attempt: AttemptId;
  requestId: RequestId;
  parameters: Omit<AttemptRunParameters, 'attempt' | 'incarnation' | 'remainingMs'>;
  deadline: Instant;
  /** Without a response for this long, the client sends an inquiry on a new connection. */
  responseTimeoutMs: number;
  /** Abandons the attempt, for example because another one completed. */
  signal?: AbortSignal;
}

/**
 * Result of the `attempt.run` call. Without a response, `requestSent` is false when no byte of the request
 * left this process.
 */
export type CallResult = { result: AttemptResult } | { result: null; requestSent: boolean };

/** Result of an attempt. `slotsUsed` is present when the agent reported it. */
export type AttemptClientResult = RequestResult & { slotsUsed?: number };

/** Response of an agent to an inquiry about an attempt. */
export interface InquiryResult {
  /** Null while the result is not known. */
  result: AttemptClientResult | null;
  /** Whether the agent responded. */
  isReachable: boolean;
}

export const AGENT_UNREACHABLE: InquiryResult = { result: null, isReachable: false };

/** Whether a response belongs to this attempt. A response to another attempt is ignored. */
export function isResponseTo(attempt: AttemptId, response: { attempt: AttemptId }): boolean {
  return (
    response.attempt.entryIncarnation === attempt.entryIncarnation &&
    response.attempt.sequence === attempt.sequence
  );
}

/** The result that a finished call proves, or null when the call proves none. */
export function toAttemptResult(call: CallResult | null): AttemptClientResult | null {
  if (call === null || call.result !== null) {
    return call?.result ?? null;
  }
  return call.requestSent
    ? null
    : createNotRunResult(OutcomeCode.ConnectionLost, 'the agent refused the connection');
}

/** Waits for the call. Returns null after `waitMs` or when the attempt is abandoned. */
export async function waitForCall(
  openCall: Promise<CallResult> | null,
  waitMs: number,
  specification: AttemptSpecification,
): Promise<CallResult | null> {
  const timerAbort = new AbortController();
  const stop = (): void => timerAbort.abort(ABORT_REASON);
  specification.signal?.addEventListener('abort', stop);
  if (specification.signal?.aborted) {
    stop();
  }
  const timer = sleep(waitMs, timerAbort.signal).then(() => null);
  const call = await (openCall === null ? timer : Promise.race([openCall, timer]));
  specification.signal?.removeEventListener('abort', stop);
  stop();
  return call;
}

export function createNotKeptResult(): RequestResult {
  return createUnknownResult(
    OutcomeCode.AnswerNotKept,
    'the attempt ended and its result is no longer stored',
  );
}

export function createCancelledResult(): RequestResult {
  return createNotRunResult(
    OutcomeCode.AttemptCancelled,
    'the attempt was cancelled before it started',
  );
}

export function createAgentRestartedResult(): RequestResult {
  return createUnknownResult(OutcomeCode.ConnectionLost, 'the agent restarted during the attempt');
}
