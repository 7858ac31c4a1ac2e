/**
 * Sends one request to a target and maps the result to completed, not run or unknown. It is "not run" only if
 * no byte can have reached the target.
 */
import { ErrorCode } from '@figjunction/errors';
import { HttpClientError } from '@figjunction/http';
import type { HttpAnswer, HttpClient } from '@figjunction/http';
import { OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { AttemptResult } from '@figjunction/types';

export interface TargetCall {
  address: string;
  contentType: string;
  body: Buffer;
  timeoutMs: number;
  headers: Record<string, string>;
}

/** As base64 in JSON, a body of this size still fits into the 8 MiB that an entry accepts as one response. */
const RESPONSE_BYTES_MAXIMUM = 5 * 1024 * 1024;

const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

export async function callTarget(http: HttpClient, call: TargetCall): Promise<AttemptResult> {
  try {
    const response = await http.request(`${call.address}/`, {
      method: 'POST',
      headers: { ...call.headers, 'content-type': call.contentType },
      body: call.body,
      timeoutMs: call.timeoutMs,
      maximumBytes: RESPONSE_BYTES_MAXIMUM,
      // A target may send a late or second response, which on a shared connection would be read as the
      // response to the next request.
      newConnection: true,
    });
    return mapResponse(response);
  } catch (error) {
    return mapError(error);
  }
}

export function createNotRunResult(
  code: OutcomeCode,
  message: string,
  slotsUsed = 0,
): AttemptResult {
  return createResultWithoutBody(RequestOutcome.NotRun, code, message, slotsUsed);
}

function mapResponse(response: HttpAnswer): AttemptResult {
  const { headers, status, body } = response;
  const isDelimited =
    headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  if (!isDelimited) {
    // Without a length, a lost connection looks like the end of the body.
    return createUnknownResult(
      OutcomeCode.TargetFailed,
      'the response of the target has no content-length',
    );
  }
  return {
    outcome: RequestOutcome.Completed,
    code: OutcomeCode.Ok,
    message: '',
    status,
    contentType: headers['content-type'] ?? DEFAULT_CONTENT_TYPE,
    bodyBase64: body.toString('base64'),
    slotsUsed: 0,
  };
}

function mapError(error: unknown): AttemptResult {
  if (!(error instanceof HttpClientError)) {
    return createUnknownResult(OutcomeCode.TargetFailed, 'the call to the target failed');
  }
  if (!error.requestSent) {
    return createNotRunResult(OutcomeCode.TargetFailed, 'could not connect to the target');
  }
  if (error.code === ErrorCode.TimedOut) {
    return createUnknownResult(
      OutcomeCode.TimedOut,
      'the target did not respond before the deadline',
    );
  }
  if (error.code === ErrorCode.TooLarge) {
    return createUnknownResult(OutcomeCode.TargetFailed, 'the response of the target is too large');
  }
  return createUnknownResult(OutcomeCode.ConnectionLost, 'the connection to the target was lost');
}

function createUnknownResult(code: OutcomeCode, message: string): AttemptResult {
  return createResultWithoutBody(RequestOutcome.Unknown, code, message, 0);
}

function createResultWithoutBody(
  outcome: RequestOutcome,
  code: OutcomeCode,
  message: string,
  slotsUsed: number,
): AttemptResult {
  return { outcome, code, message, status: null, contentType: null, bodyBase64: null, slotsUsed };
}
