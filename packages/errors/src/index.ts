/**
 * The base error of all layers. A layer subclasses it and wraps errors from the layers below as `cause`,
 * so that one chain of messages tells what failed and why.
 */
import verror from 'verror';

const { VError } = verror;

/** What kind of failure an error is, for code that has to react to it. */
export enum ErrorCode {
  Internal = 'internal',
  InvalidInput = 'invalid-input',
  Unauthenticated = 'unauthenticated',
  Forbidden = 'forbidden',
  NotFound = 'not-found',
  Conflict = 'conflict',
  TooLarge = 'too-large',
  Throttled = 'throttled',
  Unavailable = 'unavailable',
  TimedOut = 'timed-out',
  /** The other side may or may not have acted. */
  OutcomeUnknown = 'outcome-unknown',
}

export interface FigjunctionErrorOptions {
  code?: ErrorCode;
  cause?: Error | undefined;
  /** Short facts about the failure; never tokens or bodies. */
  details?: Record<string, string | number | boolean>;
}

export class FigjunctionError extends VError {
  readonly code: ErrorCode;

  constructor(message: string, options: FigjunctionErrorOptions = {}) {
    const { code = ErrorCode.Internal, cause, details = {} } = options;
    super({ name: new.target.name, cause, info: details }, '%s', message);
    this.code = code;
  }
}

/** Turns anything that was thrown into an `Error`. */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}

/** Finds the code of the outermost figjunction error in a chain. */
export function errorCodeOf(error: unknown): ErrorCode {
  let current: unknown = error;
  while (current instanceof Error) {
    if (current instanceof FigjunctionError) {
      return current.code;
    }
    current = VError.cause(current);
  }
  return ErrorCode.Internal;
}
