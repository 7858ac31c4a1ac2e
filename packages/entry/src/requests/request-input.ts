/**
 * Reads and checks an interactive request. Every fault in the input throws an `EntryError` that says what
 * to send instead; nothing has been forwarded by then.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { ServiceConfiguration, TeamConfiguration } from '@figjunction/config';
import { ErrorCode } from '@figjunction/errors';
import { readBody } from '@figjunction/http';
import type { RouteMatch } from '@figjunction/http';
import {
  IDEMPOTENT_HEADER,
  REQUEST_ID_HEADER,
  Role,
  TIMEOUT_HEADER,
  URGENCY_HEADER,
} from '@figjunction/types';
import type { RequestId, UrgencyClassName } from '@figjunction/types';
import { authenticate } from '../authentication.js';
import type { EntryContext } from '../entry-context.js';
import { EntryError } from '../entry-error.js';
import type { InteractiveRequest } from './interactive-request.js';

const REQUEST_ID = /^[\x21-\x7e]{1,128}$/u;
const TIMEOUT_MS = /^[1-9][0-9]{0,5}$/u;
const TIMEOUT_MS_MAXIMUM = 600_000;
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

/** Who calls which service. */
export interface Target {
  team: TeamConfiguration;
  service: ServiceConfiguration;
}

function invalid(message: string): EntryError {
  return new EntryError(message, { code: ErrorCode.InvalidInput });
}

/** The caller's request id, or a new one when there is none or it is malformed. */
export function requestIdOf(request: IncomingMessage): { requestId: RequestId; given: boolean } {
  const header = request.headers[REQUEST_ID_HEADER];
  const given = typeof header === 'string' && REQUEST_ID.test(header);
  return { requestId: given ? header : randomUUID(), given };
}

export function findTarget(context: EntryContext, match: RouteMatch): Target {
  const identity = authenticate(context, match.request);
  if (identity.role !== Role.Caller) {
    throw new EntryError('requests need the token of a team', { code: ErrorCode.Forbidden });
  }
  const services = context.configuration.current()?.configuration.services ?? [];
  const service = services.find(({ name }) => name === match.parameters.service);
  if (service === undefined) {
    throw new EntryError(`service ${match.parameters.service} is not configured`, {
      code: ErrorCode.NotFound,
    });
  }
  return { team: identity.team, service };
}

export async function readRequest(
  context: EntryContext,
  match: RouteMatch,
  callerGone: AbortSignal,
): Promise<InteractiveRequest> {
  const arrivedAt = context.clock.now();
  const { request } = match;
  const target = findTarget(context, match);
  const { requestId, given } = requestIdOf(request);
  if (request.headers[REQUEST_ID_HEADER] !== undefined && !given) {
    throw invalid(`${REQUEST_ID_HEADER} takes 1 to 128 visible ASCII characters`);
  }
  const timeoutMs = timeoutOf(request, target.service);
  return {
    requestId,
    idFromCaller: given,
    idempotent: idempotentOf(request),
    ...target,
    urgency: urgencyOf(request, target),
    arrivedAt,
    deadline: arrivedAt + timeoutMs,
    contentType: request.headers['content-type'] ?? DEFAULT_CONTENT_TYPE,
    body: await readBody(request, target.service.requestBytesMaximum),
    callerGone,
  };
}

function urgencyOf(request: IncomingMessage, target: Target): UrgencyClassName {
  const { urgencies, name } = target.team;
  const header = request.headers[URGENCY_HEADER];
  if (header === undefined) {
    const { urgency } = target.service;
    return urgencies.includes(urgency) ? urgency : (urgencies[0] ?? urgency);
  }
  if (typeof header !== 'string' || !urgencies.includes(header)) {
    throw new EntryError(`team ${name} may use the classes ${urgencies.join(', ')}`, {
      code: ErrorCode.Forbidden,
    });
  }
  return header;
}

function idempotentOf(request: IncomingMessage): boolean {
  const header = request.headers[IDEMPOTENT_HEADER] ?? 'false';
  if (header !== 'true' && header !== 'false') {
    throw invalid(`${IDEMPOTENT_HEADER} is true or false`);
  }
  return header === 'true';
}

function timeoutOf(request: IncomingMessage, service: ServiceConfiguration): number {
  const header = request.headers[TIMEOUT_HEADER];
  if (header === undefined) {
    return service.timeoutMs;
  }
  if (
    typeof header !== 'string' ||
    !TIMEOUT_MS.test(header) ||
    Number(header) > TIMEOUT_MS_MAXIMUM
  ) {
    throw invalid(`${TIMEOUT_HEADER} is a whole number from 1 to ${TIMEOUT_MS_MAXIMUM}`);
  }
  return Number(header);
}
