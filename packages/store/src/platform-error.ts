/**
 * Errors of the platform layer.
 */
import { ErrorCode, FigjunctionError } from '@figjunction/errors';

/**
 * A call to the table or the object store failed. With `ErrorCode.OutcomeUnknown` a write may have taken
 * effect; the row's write id tells.
 */
export class PlatformError extends FigjunctionError {
  /** True when a write certainly had no effect and will have none. */
  get certainlyNoEffect(): boolean {
    return this.code !== ErrorCode.OutcomeUnknown;
  }
}

/** What the platform layer did not throw itself may have had an effect. */
export function toPlatformError(error: Error): PlatformError {
  if (error instanceof PlatformError) {
    return error;
  }
  return new PlatformError('the table call failed', {
    code: ErrorCode.OutcomeUnknown,
    cause: error,
  });
}

/** The table may accept the same call later. */
export function isTemporary(error: PlatformError): boolean {
  return [ErrorCode.Throttled, ErrorCode.Unavailable, ErrorCode.TimedOut].includes(error.code);
}
