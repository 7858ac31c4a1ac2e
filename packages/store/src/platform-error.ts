/**
 * Errors of calls to the platform's table and object store.
 */
import { ErrorCode, FigjunctionError } from '@figjunction/errors';

/**
 * A call to the table or the object store failed. With `ErrorCode.OutcomeUnknown` a write may have taken
 * effect; compare the row's write id to find out.
 */
export class PlatformError extends FigjunctionError {
  /** True when a write had no effect and never will. */
  get hasNoEffect(): boolean {
    return this.code !== ErrorCode.OutcomeUnknown;
  }
}

/** Wraps other errors with `OutcomeUnknown`, because the failed call may have taken effect. */
export function toPlatformError(error: Error): PlatformError {
  if (error instanceof PlatformError) {
    return error;
  }
  return new PlatformError('table call failed with an unexpected error', {
    code: ErrorCode.OutcomeUnknown,
    cause: error,
  });
}

/** True when the table may accept the same call later. */
export function isRetryable(error: PlatformError): boolean {
  return [ErrorCode.Throttled, ErrorCode.Unavailable, ErrorCode.TimedOut].includes(error.code);
}
