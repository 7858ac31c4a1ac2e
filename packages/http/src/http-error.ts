/**
 * Errors of the HTTP layer. `requestSent` tells whether the other side may have seen the request.
 */
import { ErrorCode, FigjunctionError } from '@figjunction/errors';
import type { FigjunctionErrorOptions } from '@figjunction/errors';

/** Failure on the server side, with the status that the client gets. */
export class HttpServerError extends FigjunctionError {
  readonly status: number;

  constructor(status: number, message: string, options: FigjunctionErrorOptions = {}) {
    super(message, options);
    this.status = status;
  }
}

export interface HttpClientErrorOptions extends FigjunctionErrorOptions {
  requestSent?: boolean;
}

/** No complete answer arrived. */
export class HttpClientError extends FigjunctionError {
  /** False only when no byte of the request can have reached the other side. */
  readonly requestSent: boolean;

  constructor(message: string, options: HttpClientErrorOptions = {}) {
    const { requestSent = true, code = ErrorCode.Unavailable, ...rest } = options;
    super(message, { code, ...rest });
    this.requestSent = requestSent;
  }
}

const STATUS_BY_CODE: Record<ErrorCode, number> = {
  [ErrorCode.Internal]: 500,
  [ErrorCode.InvalidInput]: 400,
  [ErrorCode.Unauthenticated]: 401,
  [ErrorCode.Forbidden]: 403,
  [ErrorCode.NotFound]: 404,
  [ErrorCode.Conflict]: 409,
  [ErrorCode.TooLarge]: 413,
  [ErrorCode.Throttled]: 429,
  [ErrorCode.Unavailable]: 503,
  [ErrorCode.TimedOut]: 504,
  [ErrorCode.OutcomeUnknown]: 504,
};

export function statusOfCode(code: ErrorCode): number {
  return STATUS_BY_CODE[code];
}

export function codeOfStatus(status: number): ErrorCode {
  const codes = Object.keys(STATUS_BY_CODE) as ErrorCode[];
  return codes.find((code) => STATUS_BY_CODE[code] === status) ?? ErrorCode.Internal;
}
