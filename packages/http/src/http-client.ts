/**
 * Requests over pooled or one-off connections. An answer is whole or it is an error: a body that ends
 * before its announced length is never returned.
 */
import { Agent, request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http';
import { ErrorCode } from '@figjunction/errors';
import { HttpClientError, codeOfStatus } from './http-error.js';

export interface HttpRequestOptions {
  method?: string;
  headers?: Record<string, string>;
  body?: Buffer | string | null;
  timeoutMs?: number;
  maximumBytes?: number;
  /** Uses a connection of its own, for when pooled ones may have gone silent. */
  newConnection?: boolean;
  signal?: AbortSignal;
}

export interface HttpAnswer {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

export interface HttpClientOptions {
  /** Open connections to one address at most. */
  connectionsMaximum?: number;
  idleMs?: number;
}

const DEFAULT_TIMEOUT_MS = 10_000;
const DEFAULT_MAXIMUM_BYTES = 8 * 1024 * 1024;
const DEFAULT_CONNECTIONS_MAXIMUM = 256;
const DEFAULT_IDLE_MS = 30_000;

export class HttpClient {
  private readonly agent: Agent;

  constructor(options: HttpClientOptions = {}) {
    const { connectionsMaximum = DEFAULT_CONNECTIONS_MAXIMUM, idleMs = DEFAULT_IDLE_MS } = options;
    this.agent = new Agent({
      keepAlive: true,
      maxSockets: connectionsMaximum,
      timeout: idleMs,
      scheduling: 'lifo',
    });
  }

  close(): void {
    this.agent.destroy();
  }

  /** Closes the idle connections to the address of a URL, which may have gone silent without having been closed. */
  closeIdle(url: string): void {
    const { hostname, port } = new URL(url);
    const name = this.agent.getName({ host: hostname, port: Number(port) });
    this.agent.freeSockets[name]?.forEach((socket) => socket.destroy());
  }

  /**
   * Sends a request and reads the whole answer. A connection that gave no answer is destroyed, and so are the idle
   * ones to the same address: whatever has silenced it may have silenced them.
   */
  request(url: string, options: HttpRequestOptions = {}): Promise<HttpAnswer> {
    const { maximumBytes = DEFAULT_MAXIMUM_BYTES } = options;
    return this.exchange(url, options, (answer) => readWhole(answer, maximumBytes));
  }

  /** Sends a request and hands over the answer as a stream; the timeout covers the headers only. */
  stream(url: string, options: HttpRequestOptions = {}): Promise<IncomingMessage> {
    return this.exchange(url, options, (answer) => Promise.resolve(answer));
  }

  /** Sends JSON and expects JSON with a status below 300. */
  async json<Result>(
    url: string,
    options: Omit<HttpRequestOptions, 'body'> & { body?: unknown } = {},
  ): Promise<Result> {
    const { body, headers = {}, ...rest } = options;
    const answer = await this.request(url, {
      ...rest,
      headers: { 'content-type': 'application/json', ...headers },
      body: body === undefined ? null : JSON.stringify(body),
    });
    return parseJsonAnswer<Result>(url, answer);
  }

  private exchange<Result>(
    url: string,
    options: HttpRequestOptions,
    read: (answer: IncomingMessage) => Promise<Result>,
  ): Promise<Result> {
    const { method = 'GET', headers = {}, body = null, timeoutMs = DEFAULT_TIMEOUT_MS } = options;
    const { newConnection = false, signal } = options;
    return new Promise((resolve, reject) => {
      const request = httpRequest(url, {
        method,
        headers: withLength(headers, body),
        agent: newConnection ? false : this.agent,
        signal,
      });
      if (!newConnection) {
        // HTTP/1.1 keeps connections open without it.
        request.removeHeader('connection');
      }
      const timer = setTimeout(
        () =>
          request.destroy(
            new HttpClientError(
              `no answer from ${url} in time (${timeoutMs} ms, ${describeConnection(request)})`,
              { code: ErrorCode.TimedOut },
            ),
          ),
        timeoutMs,
      );
      const fail = (error: Error): void => {
        clearTimeout(timer);
        if (signal?.aborted !== true) {
          this.closeIdle(url);
        }
        reject(wrapError(url, error));
      };
      request.on('error', fail);
      request.on('response', (answer) => {
        read(answer).then((result) => {
          clearTimeout(timer);
          resolve(result);
        }, fail);
      });
      request.end(body ?? undefined);
    });
  }
}

/** Parses a JSON answer; a status of 300 or more becomes an error with the server's message. */
export function parseJsonAnswer<Result>(url: string, answer: HttpAnswer): Result {
  const text = answer.body.toString('utf8');
  let parsed: unknown;
  try {
    parsed = text === '' ? null : JSON.parse(text);
  } catch (error) {
    throw new HttpClientError(`${url} answered with malformed JSON`, { cause: error as Error });
  }
  if (answer.status >= 300) {
    const message = (parsed as { message?: string } | null)?.message ?? `status ${answer.status}`;
    throw new HttpClientError(`${url} answered: ${message}`, {
      code: codeOfStatus(answer.status),
      details: { status: answer.status },
    });
  }
  return parsed as Result;
}

function describeConnection({ reusedSocket }: ClientRequest): string {
  return reusedSocket ? 'reused connection' : 'new connection';
}

function withLength(
  headers: Record<string, string>,
  body: Buffer | string | null,
): Record<string, string> {
  if (body === null) {
    return headers;
  }
  return { ...headers, 'content-length': String(Buffer.byteLength(body)) };
}

function wrapError(url: string, error: Error): HttpClientError {
  if (error instanceof HttpClientError) {
    return error;
  }
  const { code } = error as NodeJS.ErrnoException;
  const neverConnected = code === 'ECONNREFUSED' || code === 'EHOSTUNREACH';
  return new HttpClientError(`connection to ${url} failed`, {
    cause: error,
    requestSent: !neverConnected,
  });
}

function readWhole(answer: IncomingMessage, maximumBytes: number): Promise<HttpAnswer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let length = 0;
    answer.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length > maximumBytes) {
        const tooLarge = new HttpClientError(`answer is over ${maximumBytes} bytes`, {
          code: ErrorCode.TooLarge,
        });
        answer.destroy(tooLarge);
        reject(tooLarge);
        return;
      }
      chunks.push(chunk);
    });
    answer.on('error', reject);
    answer.on('close', () => {
      if (!answer.complete) {
        reject(new HttpClientError('the answer ended before its announced length'));
      }
    });
    answer.on('end', () => {
      resolve({
        status: answer.statusCode ?? 0,
        headers: answer.headers,
        body: Buffer.concat(chunks),
      });
    });
  });
}
