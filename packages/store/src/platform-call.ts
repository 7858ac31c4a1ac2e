/**
 * Maps the endings of HTTP calls to the platform onto `PlatformError`.
 */
import { ErrorCode, toError } from '@figjunction/errors';
import { HttpClientError, codeOfStatus } from '@figjunction/http';
import type { HttpAnswer } from '@figjunction/http';
import { PlatformError } from './platform-error.js';

/** Whether a call that got no answer may have changed something. */
export enum CallEffect {
  Read = 'read',
  Write = 'write',
}

/** Codes of answers with which the platform says that it did nothing. */
const REFUSALS = [
  ErrorCode.InvalidInput,
  ErrorCode.Unauthenticated,
  ErrorCode.Forbidden,
  ErrorCode.NotFound,
  ErrorCode.Conflict,
  ErrorCode.TooLarge,
  ErrorCode.Throttled,
  ErrorCode.Unavailable,
];

/** Wraps what was thrown when no complete answer arrived. */
export function lostAnswer(what: string, effect: CallEffect, thrown: unknown): PlatformError {
  const cause = toError(thrown);
  const sent = !(cause instanceof HttpClientError) || cause.requestSent;
  const unknown = effect === CallEffect.Write && sent;
  return new PlatformError(`${what}: no answer`, {
    code: unknown ? ErrorCode.OutcomeUnknown : ErrorCode.Unavailable,
    cause,
  });
}

/** The error for an answer whose status is 300 or more. */
export function refusal(what: string, effect: CallEffect, answer: HttpAnswer): PlatformError {
  const code = codeOfStatus(answer.status);
  const unknown = effect === CallEffect.Write && !REFUSALS.includes(code);
  return new PlatformError(`${what}: status ${answer.status}`, {
    code: unknown ? ErrorCode.OutcomeUnknown : code,
    details: { status: answer.status },
  });
}

/** Parses a body of JSON; a malformed one counts as a lost answer. */
export function parseBody<Result>(what: string, effect: CallEffect, answer: HttpAnswer): Result {
  try {
    return JSON.parse(answer.body.toString('utf8')) as Result;
  } catch (error) {
    throw lostAnswer(what, effect, error);
  }
}
