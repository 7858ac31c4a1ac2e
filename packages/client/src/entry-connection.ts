/**
 * Calls of the entries' HTTP API. Addresses are tried in turn; every call may be repeated, because the
 * entries recognise a file, a job or a drain that they have already taken.
 */
import { ErrorCode } from '@figjunction/errors';
import { HttpClient, codeOfStatus } from '@figjunction/http';
import type { HttpAnswer, HttpClientError } from '@figjunction/http';
import { ClientError, errorForCode } from './client-error.js';
import type { ClientErrorOptions } from './client-error.js';
import { ExitCode } from './exit-code.js';

export interface EntryConnectionOptions {
  addresses: string[];
  token: string;
  timeoutMs?: number;
}

export interface EntryAnswer {
  status: number;
  value: unknown;
}

const DEFAULT_TIMEOUT_MS = 15_000;
const STATUS_UNAVAILABLE = 503;
const READING_METHOD = 'GET';
const NO_ANSWER: ClientErrorOptions = {
  exitCode: ExitCode.Unavailable,
  code: ErrorCode.Unavailable,
  nextStep: 'check the address and that an entry listens there',
};
const ADDRESS_PATTERN = /^http:\/\/[^/\s]+$/u;

export class EntryConnection {
  private readonly http = new HttpClient();

  private addresses: string[];

  constructor(private readonly options: EntryConnectionOptions) {
    this.addresses = options.addresses;
    if (options.addresses.length === 0) {
      throw new ClientError('no address of an entry is given', {
        exitCode: ExitCode.Usage,
        nextStep: 'set FIGJUNCTION_ADDRESS or use --address http://<ip>:<port>',
      });
    }
    const wrong = options.addresses.find((address) => !ADDRESS_PATTERN.test(address));
    if (wrong !== undefined) {
      throw new ClientError(`"${wrong}" is not an address of the form http://<ip>:<port>`, {
        exitCode: ExitCode.Usage,
        nextStep: 'correct FIGJUNCTION_ADDRESS or --address',
      });
    }
    if (options.token === '') {
      throw new ClientError('no token is given', {
        exitCode: ExitCode.NotAllowed,
        nextStep: 'set FIGJUNCTION_TOKEN',
      });
    }
  }

  close(): void {
    this.http.close();
  }

  /** Calls a path; a status of 300 or more becomes a `ClientError`. */
  async call<Result>(method: string, path: string, body?: unknown): Promise<Result> {
    const answer = await this.exchange(method, path, body);
    if (answer.status >= 300) {
      throw describeFailure(answer);
    }
    return answer.value as Result;
  }

  /** Calls a path and returns an answer of any status but 503, for which the next address is asked. */
  async exchange(method: string, path: string, body?: unknown): Promise<EntryAnswer> {
    let failure: ClientError | null = null;
    for (const address of [...this.addresses]) {
      try {
        const answer = await this.send(address, method, path, body);
        if (answer.status !== STATUS_UNAVAILABLE) {
          this.prefer(address);
          return answer;
        }
        failure = describeFailure(answer);
      } catch (error) {
        failure = describeTransport(error as HttpClientError, method, failure);
      }
    }
    throw failure ?? new ClientError('no entry was asked');
  }

  /** Asks the entry that answered first next time, so that its view is compared with itself. */
  private prefer(address: string): void {
    this.addresses = [address, ...this.addresses.filter((other) => other !== address)];
  }

  private async send(
    address: string,
    method: string,
    path: string,
    body: unknown,
  ): Promise<EntryAnswer> {
    const { token, timeoutMs = DEFAULT_TIMEOUT_MS } = this.options;
    const answer = await this.http.request(`${address}${path}`, {
      method,
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      timeoutMs,
    });
    return { status: answer.status, value: parseBody(address, answer) };
  }
}

function parseBody(address: string, answer: HttpAnswer): unknown {
  try {
    return JSON.parse(answer.body.toString('utf8'));
  } catch {
    throw new ClientError(`${address} did not answer with JSON; it may not be an entry`, {
      nextStep: 'check the address',
    });
  }
}

export function describeFailure(answer: EntryAnswer): ClientError {
  const { code, message } = (answer.value ?? {}) as { code?: ErrorCode; message?: string };
  const known = Object.values(ErrorCode).find((candidate) => candidate === code);
  return errorForCode(
    known ?? codeOfStatus(answer.status),
    message ?? `the entry answered with status ${answer.status}`,
  );
}

/** An entry that answered tells more than one that did not, and a change that was sent may have acted. */
function describeTransport(
  error: HttpClientError | ClientError,
  method: string,
  earlier: ClientError | null,
): ClientError {
  if (error instanceof ClientError) {
    return error;
  }
  if (method !== READING_METHOD && error.requestSent) {
    return errorForCode(ErrorCode.TimedOut, error.message);
  }
  return earlier ?? new ClientError(error.message, NO_ANSWER);
}
