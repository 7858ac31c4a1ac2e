/**
 * Calls of an entry's HTTP API, for tests and measurements.
 */
import { HttpClient, codeOfStatus } from '@figjunction/http';
import type { HttpAnswer } from '@figjunction/http';
import type { JobRequest, RequestOutcome } from '@figjunction/types';
import { HarnessError } from '../harness/wait-until.js';
import type { ClusterStatus } from './cluster-status.js';

export interface ServiceRequest {
  service: string;
  body: string | Buffer;
  token: string;
  requestId?: string;
  idempotent?: boolean;
  timeoutMs?: number;
  urgency?: string;
  /** How long the caller itself waits. */
  callerTimeoutMs?: number;
}

export interface ServiceAnswer {
  status: number;
  outcome: RequestOutcome | null;
  requestId: string | null;
  body: Buffer;
}

const APPLY_TIMEOUT_MS = 30_000;
const DEFAULT_CALLER_TIMEOUT_MS = 30_000;

export class EntryClient {
  constructor(
    readonly address: string,
    private readonly http: HttpClient,
  ) {}

  /** Applies a configuration on top of the revision in force and returns the new revision. */
  async apply(configuration: unknown, token: string): Promise<number> {
    const text =
      typeof configuration === 'string' ? configuration : JSON.stringify(configuration, null, 2);
    const baseRevision = await this.currentRevision(token);
    const answer = await this.call('POST', '/v1/configuration', token, {
      baseRevision,
      body: text,
      fileName: 'test.jsonc',
    });
    return (parse(answer) as { revision: number }).revision;
  }

  /** 0 before the first configuration. */
  async currentRevision(token: string): Promise<number> {
    const answer = await this.call('GET', '/v1/configuration', token);
    return answer.status === 404 ? 0 : (parse(answer) as { revision: number }).revision;
  }

  async submit(job: JobRequest, token: string): Promise<unknown> {
    return parse(await this.call('POST', '/v1/jobs', token, job));
  }

  async readJob(jobId: string, token: string): Promise<unknown> {
    return parse(await this.call('GET', `/v1/jobs/${jobId}`, token));
  }

  async cancel(jobId: string, token: string): Promise<unknown> {
    return parse(await this.call('POST', `/v1/jobs/${jobId}/cancel`, token, {}));
  }

  async readStatus(token: string): Promise<ClusterStatus> {
    return parse(await this.call('GET', '/v1/status', token)) as ClusterStatus;
  }

  async readRuns(query: Record<string, string>, token: string): Promise<unknown> {
    return parse(await this.call('GET', `/v1/runs?${new URLSearchParams(query)}`, token));
  }

  /** Any other call; an answer of any status is returned. */
  call(method: string, path: string, token: string, body?: unknown): Promise<HttpAnswer> {
    return this.http.request(`${this.address}${path}`, {
      method,
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      timeoutMs: APPLY_TIMEOUT_MS,
    });
  }

  /** Sends an interactive request; an answer of any status is returned. */
  async request(request: ServiceRequest): Promise<ServiceAnswer> {
    const { service, body, callerTimeoutMs = DEFAULT_CALLER_TIMEOUT_MS } = request;
    const answer = await this.http.request(`${this.address}/v1/services/${service}/requests`, {
      method: 'POST',
      headers: requestHeaders(request),
      body,
      timeoutMs: callerTimeoutMs,
    });
    return {
      status: answer.status,
      outcome: (answer.headers['figjunction-outcome'] as RequestOutcome | undefined) ?? null,
      requestId: (answer.headers['figjunction-request-id'] as string | undefined) ?? null,
      body: answer.body,
    };
  }
}

function requestHeaders(request: ServiceRequest): Record<string, string> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${request.token}`,
    'content-type': 'application/json',
  };
  if (request.requestId !== undefined) {
    headers['figjunction-request-id'] = request.requestId;
  }
  if (request.idempotent !== undefined) {
    headers['figjunction-idempotent'] = String(request.idempotent);
  }
  if (request.timeoutMs !== undefined) {
    headers['figjunction-timeout-ms'] = String(request.timeoutMs);
  }
  if (request.urgency !== undefined) {
    headers['figjunction-urgency'] = request.urgency;
  }
  return headers;
}

function parse(answer: HttpAnswer): unknown {
  const text = answer.body.toString('utf8');
  if (answer.status >= 300) {
    throw new HarnessError(`an entry answered with status ${answer.status}: ${text}`, {
      code: codeOfStatus(answer.status),
    });
  }
  return text === '' ? null : (JSON.parse(text) as unknown);
}
