/**
 * Parses and validates an interactive request. Invalid input throws an `EntryError` whose message says what
 * is expected; the request has not been forwarded at that point.
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

const REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,128}$/u;
const TIMEOUT_PATTERN = /^[1-9][0-9]{0,5}$/u;
const TIMEOUT_MS_MAXIMUM = 600_000;
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

/** An authorized call: the team of the caller and the service that it calls. */
export interface AuthorizedCall {
  team: TeamConfiguration;
  service: ServiceConfiguration;
}

function createInvalidInputError(message: string): EntryError {
  return new EntryError(message, { code: ErrorCode.InvalidInput });
}

/** The request id of the caller, or a new one when it is missing or malformed. */
export function readRequestId(request: IncomingMessage): {
  requestId: RequestId;
  isFromCaller: boolean;
} {
  const header = request.headers[REQUEST_ID_HEADER];
  const isFromCaller = typeof header === 'string' && REQUEST_ID_PATTERN.test(header);
  return { requestId: isFromCaller ? header : randomUUID(), isFromCaller };
}

/**
 * Authenticates the caller and looks up the service. Throws `EntryError` with `Forbidden` for a token that
 * belongs to no team, and with `NotFound` for a service that is not configured.
 */
export function authorizeCall(context: EntryContext, match: RouteMatch): AuthorizedCall {
  const identity = authenticate(context, match.request);
  if (identity.role !== Role.Caller) {
    throw new EntryError('requests require the token of a team', { code: ErrorCode.Forbidden });
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
  disconnectSignal: AbortSignal,
): Promise<InteractiveRequest> {
  const arrivedAt = context.clock.now();
  const { request } = match;
  const call = authorizeCall(context, match);
  const { requestId, isFromCaller } = readRequestId(request);
  if (request.headers[REQUEST_ID_HEADER] !== undefined && !isFromCaller) {
    throw createInvalidInputError(`${REQUEST_ID_HEADER} must be 1 to 128 visible ASCII characters`);
  }
  const timeoutMs = readTimeoutMs(request, call.service);
  return {
    requestId,
    isIdFromCaller: isFromCaller,
    isIdempotent: readIdempotent(request),
    ...call,
    urgency: readUrgency(request, call),
    arrivedAt,
    deadline: arrivedAt + timeoutMs,
    contentType: request.headers['content-type'] ?? DEFAULT_CONTENT_TYPE,
    body: await readBody(request, call.service.requestBytesMaximum),
    disconnectSignal,
  };
}

function readUrgency(request: IncomingMessage, call: AuthorizedCall): UrgencyClassName {
  const { urgencies, name } = call.team;
  const header = request.headers[URGENCY_HEADER];
  if (header === undefined) {
    const { urgency } = call.service;
    return urgencies.includes(urgency) ? urgency : (urgencies[0] ?? urgency);
  }
  if (typeof header !== 'string' || !urgencies.includes(header)) {
    throw new EntryError(`team ${name} may only use the urgency classes ${urgencies.join(', ')}`, {
      code: ErrorCode.Forbidden,
    });
  }
  return header;
}

function readIdempotent(request: IncomingMessage): boolean {
  const header = request.headers[IDEMPOTENT_HEADER] ?? 'false';
  if (header !== 'true' && header !== 'false') {
    throw createInvalidInputError(`${IDEMPOTENT_HEADER} must be true or false`);
  }
  return header === 'true';
}

function readTimeoutMs(request: IncomingMessage, service: ServiceConfiguration): number {
  const header = request.headers[TIMEOUT_HEADER];
  if (header === undefined) {
    return service.timeoutMs;
  }
  if (
    typeof header !== 'string' ||
    !TIMEOUT_PATTERN.test(header) ||
    Number(header) > TIMEOUT_MS_MAXIMUM
  ) {
    throw createInvalidInputError(
      `${TIMEOUT_HEADER} must be a whole number from 1 to ${TIMEOUT_MS_MAXIMUM}`,
    );
  }
  return Number(header);
}
