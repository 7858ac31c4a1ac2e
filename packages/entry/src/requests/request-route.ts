/**
 * `POST /v1/services/<service>/requests`.
 */
import { toError } from '@figjunction/errors';
import type { Route, RouteMatch } from '@figjunction/http';
import { inSpan } from '@figjunction/telemetry';
import { OutcomeCode } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { ENDED, notRun } from './interactive-request.js';
import type { InteractiveRequest, RequestEnd } from './interactive-request.js';
import { endOfInputError, sendEnd } from './request-response.js';
import { readRequest, requestIdOf } from './request-input.js';
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
  const request = await readOrRefuse(context, match);
  if (request === null) {
    return;
  }
  const attributes = { service: request.service.name, urgency: request.urgency };
  const end = await inSpan('entry.request', match.request.headers, attributes, () =>
    service.execute(request),
  );
  countEnd(context, request, end);
  const headers = service.isStopping ? { connection: 'close' } : undefined;
  sendEnd(response, request.requestId, end, headers);
}

async function readOrRefuse(
  context: EntryContext,
  match: RouteMatch,
): Promise<InteractiveRequest | null> {
  const { requestId } = requestIdOf(match.request);
  if (context.configuration.current() === null) {
    const message = 'no configuration is in force yet';
    sendEnd(match.response, requestId, notRun(OutcomeCode.NoTarget, message));
    return null;
  }
  const gone = new AbortController();
  match.response.on('close', () => gone.abort(ENDED));
  try {
    return await readRequest(context, match, gone.signal);
  } catch (error) {
    const end = endOfInputError(toError(error));
    if (end === null) {
      throw error;
    }
    context.metrics.count('requests_refused_total', { code: end.code });
    // The rest of the body is not read, so that the connection cannot be used again.
    sendEnd(match.response, requestId, end, { connection: 'close' });
    return null;
  }
}

function countEnd(context: EntryContext, request: InteractiveRequest, end: RequestEnd): void {
  const labels = { service: request.service.name, urgency: request.urgency };
  context.metrics.count('requests_total', { ...labels, outcome: end.outcome, code: end.code });
  context.metrics.recordLatency('request_ms', context.clock.now() - request.arrivedAt, labels);
}
