/**
 * An error that ends the client: one plain line with a next step, and an exit code.
 */
import { ErrorCode, FigjunctionError } from '@figjunction/errors';
import { ExitCode } from './exit-code.js';

export interface ClientErrorOptions {
  exitCode?: ExitCode;
  code?: ErrorCode;
  cause?: Error;
  /** What the operator can do now. */
  nextStep?: string;
}

export class ClientError extends FigjunctionError {
  readonly exitCode: ExitCode;

  readonly nextStep: string | null;

  constructor(message: string, options: ClientErrorOptions = {}) {
    const { exitCode = ExitCode.Failed, nextStep = null, code, cause } = options;
    super(message, { code, cause });
    this.exitCode = exitCode;
    this.nextStep = nextStep;
  }
}

interface Reaction {
  exitCode: ExitCode;
  nextStep: string | null;
}

const REACTIONS: Partial<Record<ErrorCode, Reaction>> = {
  [ErrorCode.InvalidInput]: {
    exitCode: ExitCode.Usage,
    nextStep: 'correct the value and see "figjunction --help"',
  },
  [ErrorCode.TooLarge]: { exitCode: ExitCode.InvalidFile, nextStep: 'make the file smaller' },
  [ErrorCode.Unauthenticated]: {
    exitCode: ExitCode.NotAllowed,
    nextStep: 'set FIGJUNCTION_TOKEN to a token whose hash is in the configuration in force',
  },
  [ErrorCode.Forbidden]: {
    exitCode: ExitCode.NotAllowed,
    nextStep: 'use the token of an operator or of the team concerned',
  },
  [ErrorCode.NotFound]: { exitCode: ExitCode.NotFound, nextStep: 'check the id' },
  [ErrorCode.Conflict]: { exitCode: ExitCode.Conflict, nextStep: null },
  [ErrorCode.Throttled]: {
    exitCode: ExitCode.Unavailable,
    nextStep: 'try again in a few seconds',
  },
  [ErrorCode.Unavailable]: {
    exitCode: ExitCode.Unavailable,
    nextStep: 'see "figjunction status" and try again',
  },
  [ErrorCode.TimedOut]: {
    exitCode: ExitCode.Unknown,
    nextStep: 'see "figjunction status" and repeat the command, which is safe',
  },
  [ErrorCode.OutcomeUnknown]: {
    exitCode: ExitCode.Unknown,
    nextStep: 'see "figjunction history" and repeat the command, which is safe',
  },
};

/** The error for a code that an entry answered with. */
export function errorForCode(code: ErrorCode, message: string): ClientError {
  const { exitCode, nextStep } = REACTIONS[code] ?? { exitCode: ExitCode.Failed, nextStep: null };
  return new ClientError(message, {
    code,
    exitCode,
    ...(nextStep === null ? {} : { nextStep }),
  });
}
