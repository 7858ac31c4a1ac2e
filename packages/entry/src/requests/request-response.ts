/**
 * Sends the result of a request as the HTTP response that section 7 of the design defines.
 */
import type { ServerResponse } from 'node:http';
import { ErrorCode, errorCodeOf } from '@figjunction/errors';
import { sendJson } from '@figjunction/http';
import { OUTCOME_HEADER, OutcomeCode, REQUEST_ID_HEADER, RequestOutcome } from '@figjunction/types';
import type { RequestId } from '@figjunction/types';
import { createNotRunResult } from './interactive-request.js';
import type { RequestResult } from './interactive-request.js';

const STATUS_BY_OUTCOME_CODE: Partial<Record<OutcomeCode, number>> = {
  [OutcomeCode.BadRequest]: 400,
  [OutcomeCode.Unauthenticated]: 401,
  [OutcomeCode.Forbidden]: 403,
  [OutcomeCode.UnknownService]: 404,
  [OutcomeCode.RequestIdReused]: 409,
  [OutcomeCode.BodyTooLarge]: 413,
  [OutcomeCode.QuotaExceeded]: 429,
  [OutcomeCode.QueueFull]: 429,
};

const NOT_RUN_STATUS = 503;
const UNKNOWN_STATUS = 504;
const NO_CONTENT_STATUS = 204;

/** Outcome codes of errors that are thrown before the request is forwarded. */
const OUTCOME_CODE_BY_ERROR_CODE: Partial<Record<ErrorCode, OutcomeCode>> = {
  [ErrorCode.Unauthenticated]: OutcomeCode.Unauthenticated,
  [ErrorCode.Forbidden]: OutcomeCode.Forbidden,
  [ErrorCode.NotFound]: OutcomeCode.UnknownService,
  [ErrorCode.TooLarge]: OutcomeCode.BodyTooLarge,
  [ErrorCode.InvalidInput]: OutcomeCode.BadRequest,
};

/** The result for an invalid request; null when the error is an internal error of the entry. */
export function createResultFromInputError(error: Error): RequestResult | null {
  const code = OUTCOME_CODE_BY_ERROR_CODE[errorCodeOf(error)];
  return code === undefined ? null : createNotRunResult(code, error.message);
}

export function sendResult(
  response: ServerResponse,
  requestId: RequestId,
  result: RequestResult,
  extraHeaders: Record<string, string> = {},
): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  const headers = {
    ...extraHeaders,
    [OUTCOME_HEADER]: result.outcome,
    [REQUEST_ID_HEADER]: requestId,
  };
  if (result.outcome !== RequestOutcome.Completed) {
    const { outcome, code, message } = result;
    sendJson(response, getStatus(result), { outcome, code, message, requestId }, headers);
    return;
  }
  sendCompleted(response, result, headers);
}

function sendCompleted(
  response: ServerResponse,
  result: RequestResult,
  headers: Record<string, string>,
): void {
  if (result.code === OutcomeCode.AnswerNotKept) {
    response.writeHead(NO_CONTENT_STATUS, { ...headers, 'figjunction-code': result.code });
    response.end();
    return;
  }
  const body = Buffer.from(result.bodyBase64 ?? '', 'base64');
  response.writeHead(result.status ?? 200, {
    ...headers,
    'content-type': result.contentType ?? 'application/octet-stream',
    'content-length': body.length,
  });
  response.end(body);
}

function getStatus(result: RequestResult): number {
  if (result.outcome === RequestOutcome.Unknown) {
    return UNKNOWN_STATUS;
  }
  return STATUS_BY_OUTCOME_CODE[result.code] ?? NOT_RUN_STATUS;
}
