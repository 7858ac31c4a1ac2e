/**
 * Maps failed HTTP calls to the platform to a `PlatformError`.
 */
import { ErrorCode, toError } from '@figjunction/errors';
import { HttpClientError, codeOfStatus } from '@figjunction/http';
import type { HttpAnswer } from '@figjunction/http';
import { PlatformError } from './platform-error.js';

/** Whether a call can change data; if so, its outcome is unknown when the response is lost. */
export enum CallEffect {
  Read = 'read',
  Write = 'write',
}

/** Error codes with which the platform rejects a call without executing it. */
const NO_EFFECT_CODES = [
  ErrorCode.InvalidInput,
  ErrorCode.Unauthenticated,
  ErrorCode.Forbidden,
  ErrorCode.NotFound,
  ErrorCode.Conflict,
  ErrorCode.TooLarge,
  ErrorCode.Throttled,
  ErrorCode.Unavailable,
];

/** The error for a call without a complete, valid response. */
export function createNoResponseError(
  operation: string,
  effect: CallEffect,
  thrown: unknown,
): PlatformError {
  const cause = toError(thrown);
  const mayHaveBeenSent = !(cause instanceof HttpClientError) || cause.requestSent;
  const isOutcomeUnknown = effect === CallEffect.Write && mayHaveBeenSent;
  return new PlatformError(`${operation}: no valid response`, {
    code: isOutcomeUnknown ? ErrorCode.OutcomeUnknown : ErrorCode.Unavailable,
    cause,
  });
}

/** The error for a response with a status of 300 or more. */
export function createStatusError(
  operation: string,
  effect: CallEffect,
  response: HttpAnswer,
): PlatformError {
  const code = codeOfStatus(response.status);
  const isOutcomeUnknown = effect === CallEffect.Write && !NO_EFFECT_CODES.includes(code);
  return new PlatformError(`${operation}: unexpected status ${response.status}`, {
    code: isOutcomeUnknown ? ErrorCode.OutcomeUnknown : code,
    details: { status: response.status },
  });
}

/** Parses a JSON body; malformed JSON counts as a lost response. */
export function parseBody<Result>(
  operation: string,
  effect: CallEffect,
  response: HttpAnswer,
): Result {
  try {
    return JSON.parse(response.body.toString('utf8')) as Result;
  } catch (error) {
    throw createNoResponseError(operation, effect, error);
  }
}
