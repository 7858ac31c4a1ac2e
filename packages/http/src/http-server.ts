/**
 * A bounded HTTP server with a table of routes. Header sizes, bodies, connections and idle times have
 * limits; a stop finishes the requests in progress.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { ErrorCode, FigjunctionError, toError } from '@figjunction/errors';
import { HttpServerError, statusOfCode } from './http-error.js';

export interface RouteMatch {
  request: IncomingMessage;
  response: ServerResponse;
  /** Named groups of the route's pattern, decoded. */
  parameters: Record<string, string>;
  query: URLSearchParams;
}

export interface Route {
  method: string;
  /** Matched against the whole path; named groups become parameters. */
  pattern: RegExp;
  handle(match: RouteMatch): Promise<void>;
}

export interface HttpServerOptions {
  routes: Route[];
  host?: string;
  port?: number;
  connectionsMaximum?: number;
  headersMaximum?: number;
  headerBytesMaximum?: number;
  requestTimeoutMs?: number;
  idleMs?: number;
  onError?: (error: Error) => void;
}

const DEFAULT_CONNECTIONS_MAXIMUM = 4096;
/** Connections that may wait to be accepted, as when hundreds of peers reconnect at once. */
const BACKLOG = 2_048;
const DEFAULT_HEADERS_MAXIMUM = 64;
const DEFAULT_HEADER_BYTES_MAXIMUM = 16 * 1024;
const DEFAULT_REQUEST_TIMEOUT_MS = 30_000;
const DEFAULT_IDLE_MS = 60_000;

export class HttpServer {
  private readonly server: Server;

  private readonly routes: Route[];

  private readonly onError: (error: Error) => void;

  constructor(private readonly options: HttpServerOptions) {
    const { headerBytesMaximum = DEFAULT_HEADER_BYTES_MAXIMUM } = options;
    this.routes = options.routes;
    this.onError = options.onError ?? (() => {});
    this.server = createServer({ maxHeaderSize: headerBytesMaximum }, (request, response) => {
      this.dispatch(request, response).catch((error) => this.answerError(response, toError(error)));
    });
    this.server.maxConnections = options.connectionsMaximum ?? DEFAULT_CONNECTIONS_MAXIMUM;
    this.server.maxHeadersCount = options.headersMaximum ?? DEFAULT_HEADERS_MAXIMUM;
    this.server.requestTimeout = options.requestTimeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS;
    this.server.keepAliveTimeout = options.idleMs ?? DEFAULT_IDLE_MS;
  }

  /** Listens and returns the address, for example `http://127.0.0.1:8080`. */
  listen(): Promise<string> {
    const { host = '127.0.0.1', port = 0 } = this.options;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ port, host, backlog: BACKLOG }, () => {
        const { address, port: boundPort } = this.server.address() as AddressInfo;
        resolve(`http://${address}:${boundPort}`);
      });
    });
  }

  /** Takes no new connections and waits for the requests in progress. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  /** Cuts every connection; for the end of a stop whose time is up. */
  closeNow(): void {
    this.server.closeAllConnections();
  }

  private async dispatch(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://localhost');
    const matching = this.routes.filter((route) => route.pattern.test(url.pathname));
    const route = matching.find((candidate) => candidate.method === request.method);
    if (route === undefined) {
      const status = matching.length > 0 ? 405 : 404;
      throw new HttpServerError(status, `${request.method} ${url.pathname} does not exist`, {
        code: ErrorCode.NotFound,
      });
    }
    const groups = route.pattern.exec(url.pathname)?.groups ?? {};
    await route.handle({
      request,
      response,
      parameters: decodeGroups(groups),
      query: url.searchParams,
    });
  }

  private answerError(response: ServerResponse, error: Error): void {
    const code = error instanceof FigjunctionError ? error.code : ErrorCode.Internal;
    const status = error instanceof HttpServerError ? error.status : statusOfCode(code);
    if (code === ErrorCode.Internal) {
      this.onError(error);
    }
    if (response.headersSent) {
      response.destroy();
      return;
    }
    const message = code === ErrorCode.Internal ? 'internal error' : error.message;
    sendJson(response, status, { code, message });
  }
}

function decodeGroups(groups: Record<string, string | undefined>): Record<string, string> {
  try {
    return Object.fromEntries(
      Object.entries(groups).map(([name, value]) => [name, decodeURIComponent(value ?? '')]),
    );
  } catch (error) {
    throw new HttpServerError(400, 'the path holds a malformed escape', {
      code: ErrorCode.InvalidInput,
      cause: toError(error),
    });
  }
}

export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

/**
 * Answers without the headers that Node adds on its own, for frequent small messages between processes of
 * the system. HTTP/1.1 keeps the connection open without them. The hint on idle time is not needed either,
 * as `HttpClient` drops an idle connection in half the time that the server keeps it.
 */
export function sendCompactJson(response: ServerResponse, status: number, body: unknown): void {
  response.sendDate = false;
  if (response.shouldKeepAlive) {
    response.removeHeader('connection');
  }
  sendJson(response, status, body);
}

/** Reads a whole body; one over the limit or cut short is an error. */
export function readBody(request: IncomingMessage, maximumBytes: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let length = 0;
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length > maximumBytes) {
        // The rest is read and dropped, so that the answer arrives and the connection stays usable.
        chunks.length = 0;
        reject(
          new HttpServerError(413, `the body is over ${maximumBytes} bytes`, {
            code: ErrorCode.TooLarge,
          }),
        );
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () => resolve(Buffer.concat(chunks)));
    request.on('error', reject);
    request.on('close', () => {
      if (!request.complete) {
        reject(
          new HttpServerError(400, 'the body ended before its announced length', {
            code: ErrorCode.InvalidInput,
          }),
        );
      }
    });
  });
}

export async function readJson(request: IncomingMessage, maximumBytes: number): Promise<unknown> {
  const body = await readBody(request, maximumBytes);
  try {
    return JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw new HttpServerError(400, 'the body is not valid JSON', {
      code: ErrorCode.InvalidInput,
      cause: toError(error),
    });
  }
}
