/**
 * One request to a target. Every end is mapped to completed, not run or unknown; "not run" only when no
 * byte can have reached the target.
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

/** As base64 in JSON it still fits into what an entry accepts as one answer (8 MiB). */
const ANSWER_BYTES_MAXIMUM = 5 * 1024 * 1024;

const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

export async function callTarget(http: HttpClient, call: TargetCall): Promise<AttemptResult> {
  try {
    const answer = await http.request(`${call.address}/`, {
      method: 'POST',
      headers: { ...call.headers, 'content-type': call.contentType },
      body: call.body,
      timeoutMs: call.timeoutMs,
      maximumBytes: ANSWER_BYTES_MAXIMUM,
      // A target may answer twice or late; on a shared connection that would become the answer of the
      // next request.
      newConnection: true,
    });
    return resultOfAnswer(answer);
  } catch (error) {
    return resultOfError(error);
  }
}

export function notRun(code: OutcomeCode, message: string, slotsUsed = 0): AttemptResult {
  return bare(RequestOutcome.NotRun, code, message, slotsUsed);
}

function resultOfAnswer(answer: HttpAnswer): AttemptResult {
  const { headers, status, body } = answer;
  const isDelimited =
    headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  if (!isDelimited) {
    // Without a length, a cut connection cannot be told from the end of the body.
    return unknown(OutcomeCode.TargetFailed, 'the target answered without content-length');
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

function resultOfError(error: unknown): AttemptResult {
  if (!(error instanceof HttpClientError)) {
    return unknown(OutcomeCode.TargetFailed, 'the call to the target failed');
  }
  if (!error.requestSent) {
    return notRun(OutcomeCode.TargetFailed, 'the target refused the connection');
  }
  if (error.code === ErrorCode.TimedOut) {
    return unknown(OutcomeCode.TimedOut, 'the target did not answer before the deadline');
  }
  if (error.code === ErrorCode.TooLarge) {
    return unknown(OutcomeCode.TargetFailed, 'the answer of the target is too large');
  }
  return unknown(OutcomeCode.ConnectionLost, 'the connection to the target broke');
}

function unknown(code: OutcomeCode, message: string): AttemptResult {
  return bare(RequestOutcome.Unknown, code, message, 0);
}

function bare(
  outcome: RequestOutcome,
  code: OutcomeCode,
  message: string,
  slotsUsed: number,
): AttemptResult {
  return { outcome, code, message, status: null, contentType: null, bodyBase64: null, slotsUsed };
}
