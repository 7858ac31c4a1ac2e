/**
 * What an attempt consists of, and the ways in which it ends.
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
import { ENDED, notRun, unknown } from './interactive-request.js';
import type { RequestEnd } from './interactive-request.js';

/** The one agent process an attempt is addressed to. */
export interface AgentAddress {
  agentId: AgentId;
  incarnation: AgentIncarnation;
  address: string;
}

export interface AttemptOrder {
  agent: AgentAddress;
  attempt: AttemptId;
  requestId: RequestId;
  parameters: Omit<AttemptRunParameters, 'attempt' | 'incarnation' | 'remainingMs'>;
  deadline: Instant;
  /** Without an answer for this long, the agent is asked on a new connection. */
  silenceBoundMs: number;
  /** Gives the attempt up, for example because another one answered. */
  signal?: AbortSignal;
}

/** How the call of `attempt.run` itself ended. */
export type CallEnd = { result: AttemptResult } | { result: null; requestSent: boolean };

export type AttemptEnd = RequestEnd & { slotsUsed?: number };

/** What an agent said of an attempt. */
export interface Settlement {
  /** Null while it is not known. */
  end: AttemptEnd | null;
  /** Whether the agent answered at all. */
  reached: boolean;
}

export const NOT_REACHED: Settlement = { end: null, reached: false };

/** An answer that belongs to another call proves nothing about this attempt. */
export function isAnswerTo(attempt: AttemptId, answer: { attempt: AttemptId }): boolean {
  return (
    answer.attempt.entryIncarnation === attempt.entryIncarnation &&
    answer.attempt.sequence === attempt.sequence
  );
}

export function endOfCall(end: CallEnd | null): AttemptEnd | null {
  if (end === null || end.result !== null) {
    return end?.result ?? null;
  }
  return end.requestSent
    ? null
    : notRun(OutcomeCode.ConnectionLost, 'the agent refused the connection');
}

/** Waits for the call, but not longer than the time given or until the attempt is given up. */
export async function firstOf(
  open: Promise<CallEnd> | null,
  waitMs: number,
  order: AttemptOrder,
): Promise<CallEnd | null> {
  const wait = new AbortController();
  const stop = (): void => wait.abort(ENDED);
  order.signal?.addEventListener('abort', stop);
  if (order.signal?.aborted) {
    stop();
  }
  const timer = sleep(waitMs, wait.signal).then(() => null);
  const end = await (open === null ? timer : Promise.race([open, timer]));
  order.signal?.removeEventListener('abort', stop);
  stop();
  return end;
}

export function forgotten(): RequestEnd {
  return unknown(OutcomeCode.AnswerNotKept, 'the attempt ended and its answer is no longer kept');
}

export function cancelled(): RequestEnd {
  return notRun(OutcomeCode.AttemptCancelled, 'the attempt was cancelled before it started');
}

export function restarted(): RequestEnd {
  return unknown(OutcomeCode.ConnectionLost, 'the agent restarted during the attempt');
}
