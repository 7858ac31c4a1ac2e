/**
 * Route for interactive requests: `POST /v1/services/<service>/requests`.
 */
import { toError } from '@figjunction/errors';
import type { Route, RouteMatch } from '@figjunction/http';
import { inSpan } from '@figjunction/telemetry';
import { OutcomeCode } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { ABORT_REASON, createNotRunResult } from './interactive-request.js';
import type { InteractiveRequest, RequestResult } from './interactive-request.js';
import { createResultFromInputError, sendResult } from './request-response.js';
import { readRequest, readRequestId } from './request-input.js';
import type { RequestService } from './request-service.js';

export function createRequestRoute(context: EntryContext, service: RequestService): Route {
  return {
    method: 'POST',
    pattern: /^\/v1\/services\/(?<service>[^/]+)\/requests$/u,
    handle: (match) => handleRequest(context, service, match),
  };
}

async function handleRequest(
  context: EntryContext,
  service: RequestService,
  match: RouteMatch,
): Promise<void> {
  const { response } = match;
  const request = await readOrReject(context, match);
  if (request === null) {
    return;
  }
  const attributes = { service: request.service.name, urgency: request.urgency };
  const result = await inSpan('entry.request', match.request.headers, attributes, () =>
    service.execute(request),
  );
  recordResultMetrics(context, request, result);
  const headers = service.isStopping ? { connection: 'close' } : undefined;
  sendResult(response, request.requestId, result, headers);
}

async function readOrReject(
  context: EntryContext,
  match: RouteMatch,
): Promise<InteractiveRequest | null> {
  const { requestId } = readRequestId(match.request);
  if (context.configuration.current() === null) {
    const message = 'no configuration is in force yet';
    sendResult(match.response, requestId, createNotRunResult(OutcomeCode.NoTarget, message));
    return null;
  }
  const disconnect = new AbortController();
  match.response.on('close', () => disconnect.abort(ABORT_REASON));
  try {
    return await readRequest(context, match, disconnect.signal);
  } catch (error) {
    const result = createResultFromInputError(toError(error));
    if (result === null) {
      throw error;
    }
    context.metrics.count('requests_refused_total', { code: result.code });
    // The rest of the body is not read, so the connection cannot be reused.
    sendResult(match.response, requestId, result, { connection: 'close' });
    return null;
  }
}

function recordResultMetrics(
  context: EntryContext,
  request: InteractiveRequest,
  result: RequestResult,
): void {
  const labels = { service: request.service.name, urgency: request.urgency };
  context.metrics.count('requests_total', {
    ...labels,
    outcome: result.outcome,
    code: result.code,
  });
  context.metrics.recordLatency('request_ms', context.clock.now() - request.arrivedAt, labels);
}
