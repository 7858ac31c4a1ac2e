/**
 * Turns the end of a request into the HTTP answer of section 7 of the design.
 */
import type { ServerResponse } from 'node:http';
import { ErrorCode, errorCodeOf } from '@figjunction/errors';
import { sendJson } from '@figjunction/http';
import { OUTCOME_HEADER, OutcomeCode, REQUEST_ID_HEADER, RequestOutcome } from '@figjunction/types';
import type { RequestId } from '@figjunction/types';
import { notRun } from './interactive-request.js';
import type { RequestEnd } from './interactive-request.js';

const STATUS_OF_CODE: Partial<Record<OutcomeCode, number>> = {
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
const EMPTY_STATUS = 204;

/** The outcome code for an error that was thrown before anything was forwarded. */
const CODE_OF_ERROR: Partial<Record<ErrorCode, OutcomeCode>> = {
  [ErrorCode.Unauthenticated]: OutcomeCode.Unauthenticated,
  [ErrorCode.Forbidden]: OutcomeCode.Forbidden,
  [ErrorCode.NotFound]: OutcomeCode.UnknownService,
  [ErrorCode.TooLarge]: OutcomeCode.BodyTooLarge,
  [ErrorCode.InvalidInput]: OutcomeCode.BadRequest,
};

/** Null for an error that is a fault of the entry itself. */
export function endOfInputError(error: Error): RequestEnd | null {
  const code = CODE_OF_ERROR[errorCodeOf(error)];
  return code === undefined ? null : notRun(code, error.message);
}

export function sendEnd(
  response: ServerResponse,
  requestId: RequestId,
  end: RequestEnd,
  extraHeaders: Record<string, string> = {},
): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  const headers = {
    ...extraHeaders,
    [OUTCOME_HEADER]: end.outcome,
    [REQUEST_ID_HEADER]: requestId,
  };
  if (end.outcome !== RequestOutcome.Completed) {
    const { outcome, code, message } = end;
    sendJson(response, statusOf(end), { outcome, code, message, requestId }, headers);
    return;
  }
  sendCompleted(response, end, headers);
}

function sendCompleted(
  response: ServerResponse,
  end: RequestEnd,
  headers: Record<string, string>,
): void {
  if (end.code === OutcomeCode.AnswerNotKept) {
    response.writeHead(EMPTY_STATUS, { ...headers, 'figjunction-code': end.code });
    response.end();
    return;
  }
  const body = Buffer.from(end.bodyBase64 ?? '', 'base64');
  response.writeHead(end.status ?? 200, {
    ...headers,
    'content-type': end.contentType ?? 'application/octet-stream',
    'content-length': body.length,
  });
  response.end(body);
}

function statusOf(end: RequestEnd): number {
  if (end.outcome === RequestOutcome.Unknown) {
    return UNKNOWN_STATUS;
  }
  return STATUS_OF_CODE[end.code] ?? NOT_RUN_STATUS;
}
