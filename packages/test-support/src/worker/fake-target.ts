/**
 * The target of one service instance: an HTTP server on a free port with a service-time model. Slots are
 * not its business; it serves whatever arrives.
 */
import { createHash } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import { HttpServer, readBody, sendJson } from '@figjunction/http';
import type { RouteMatch } from '@figjunction/http';
import { sleep } from '@figjunction/time';
import type { WorkerFaults } from './worker-faults.js';

export interface FakeTargetOptions {
  service: string;
  taskId: string;
  host: string;
  faults: WorkerFaults;
  /** Service time of the next request, slowdown included. */
  nextServiceMs(): number;
  isSuspended(): boolean;
  onRequest(event: 'begin' | 'end', requestKey: string, detail?: string): void;
}

/** What a target answers, so that a caller can tell whether the answer belongs to its request. */
export interface TargetAnswer {
  service: string;
  taskId: string;
  bodyHash: string;
  testId: string | null;
  padding?: string;
}

/** Fields of a JSON request body that steer the target. */
interface RequestHints {
  workMs?: number;
  answerBytes?: number;
}

const BODY_BYTES_MAXIMUM = 16 * 1024 * 1024;
const WATCH_EVENT_INTERVAL_MS = 200;

/** Hung answers never end, so a drain cuts what is left after this time. */
const DRAIN_MS_MAXIMUM = 10_000;

export function hashBody(body: Buffer | string): string {
  return createHash('sha256').update(body).digest('hex');
}

export class FakeTarget {
  address = '';

  /** Requests in progress. */
  active = 0;

  private draining = false;

  private readonly server: HttpServer;

  constructor(private readonly options: FakeTargetOptions) {
    this.server = new HttpServer({
      host: options.host,
      routes: [
        { method: 'POST', pattern: /^\/$/u, handle: (match) => this.serve(match) },
        { method: 'GET', pattern: /^\/watch$/u, handle: (match) => this.watch(match) },
        { method: 'GET', pattern: /^\/healthz$/u, handle: (match) => this.health(match) },
      ],
    });
  }

  async listen(): Promise<void> {
    this.address = await this.server.listen();
  }

  /** Finishes the requests in progress and ends watches with their cursor. */
  async drain(): Promise<void> {
    this.draining = true;
    const cut = setTimeout(() => this.server.closeNow(), DRAIN_MS_MAXIMUM);
    await this.server.close();
    clearTimeout(cut);
  }

  /** Cuts every connection. */
  async kill(): Promise<void> {
    this.draining = true;
    this.server.closeNow();
    await this.server.close();
  }

  private health(match: RouteMatch): Promise<void> {
    const status = this.options.isSuspended() ? 503 : 200;
    sendJson(match.response, status, { service: this.options.service });
    return Promise.resolve();
  }

  private async serve(match: RouteMatch): Promise<void> {
    const { request, response } = match;
    const { options } = this;
    const body = await readBody(request, BODY_BYTES_MAXIMUM);
    if (options.isSuspended()) {
      sendJson(response, 503, { code: 'unavailable', message: 'the instance is suspended' });
      return;
    }
    const bodyHash = hashBody(body);
    const testId = (request.headers['x-test-id'] as string | undefined) ?? null;
    const requestKey = testId ?? bodyHash;
    const hints = readHints(body);
    this.active += 1;
    options.onRequest('begin', requestKey);
    await sleep(hints.workMs ?? options.nextServiceMs());
    this.active -= 1;
    options.onRequest('end', requestKey, response.destroyed ? 'caller-gone' : undefined);
    const { service, taskId } = options;
    const answer: TargetAnswer = { service, taskId, bodyHash, testId };
    if (hints.answerBytes !== undefined) {
      answer.padding = 'x'.repeat(hints.answerBytes);
    }
    this.respond(response, Buffer.from(JSON.stringify(answer)));
  }

  private respond(response: ServerResponse, body: Buffer): void {
    const { faults } = this.options;
    if (faults.failEverything) {
      sendJson(response, 500, { code: 'internal', message: 'this worker fails everything' });
    } else if (faults.hangAnswers > 0) {
      faults.hangAnswers -= 1;
    } else if (faults.truncateAnswers > 0) {
      faults.truncateAnswers -= 1;
      writeHead(response, body);
      response.write(body.subarray(0, body.length / 2), () => response.socket?.destroy());
    } else if (faults.duplicateAnswers > 0) {
      faults.duplicateAnswers -= 1;
      sendTwice(response, body);
    } else {
      writeHead(response, body);
      response.end(body);
    }
  }

  /** Streams one event per interval; the cursor counts events. */
  private async watch(match: RouteMatch): Promise<void> {
    const { response, query } = match;
    let cursor = Number(query.get('cursor') ?? 0) || 0;
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    response.flushHeaders();
    while (!this.draining && !response.destroyed) {
      cursor += 1;
      response.write(`${JSON.stringify({ cursor: String(cursor), event: `change-${cursor}` })}\n`);
      await sleep(WATCH_EVENT_INTERVAL_MS);
    }
    response.end(`${JSON.stringify({ cursor: String(cursor), end: 'drained' })}\n`);
  }
}

function readHints(body: Buffer): RequestHints {
  try {
    return (JSON.parse(body.toString('utf8')) as RequestHints | null) ?? {};
  } catch {
    return {};
  }
}

function writeHead(response: ServerResponse, body: Buffer): void {
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length });
}

/** Writes the answer once through the response and once more straight to the connection. */
function sendTwice(response: ServerResponse, body: Buffer): void {
  const head = [
    'HTTP/1.1 200 OK',
    'content-type: application/json',
    `content-length: ${body.length}`,
    '',
    '',
  ].join('\r\n');
  const { socket } = response;
  writeHead(response, body);
  response.end(body, () => socket?.write(Buffer.concat([Buffer.from(head), body])));
}
