/**
 * The status of the processes: the revision that each one uses, whether it is confirmed, and what a
 * starting process is waiting for.
 */
import type { IncomingMessage } from 'node:http';
import { ErrorCode } from '@figjunction/errors';
import { sendJson } from '@figjunction/http';
import type { HttpClient, Route, RouteMatch } from '@figjunction/http';
import { bearerHeader, bearerToken, equalsInConstantTime } from '@figjunction/rpc';
import type { KnownEntry } from '@figjunction/types';
import type { KnownAgent } from '../agent-directory.js';
import { authenticateOperator } from '../authentication.js';
import type { EntryContext } from '../entry-context.js';
import { EntryError } from '../entry-error.js';
import type { AbsentProcessTracker } from './absent-process-tracker.js';

const PEER_TIMEOUT_MS = 1_000;
const OWN_STATUS_PATH = '/v1/status/own';

interface EntryStatus extends KnownEntry {
  /** Null if the entry did not respond. */
  revision: number | null;
  confirmed: boolean;
  waitingFor: string[];
}

export interface StatusParts {
  context: EntryContext;
  http: HttpClient;
  absentProcesses: AbsentProcessTracker;
}

export function createStatusRoutes(parts: StatusParts): Route[] {
  const { context } = parts;
  return [
    {
      method: 'GET',
      pattern: /^\/v1\/status$/u,
      handle: (match) => showStatus(parts, match),
    },
    {
      method: 'GET',
      pattern: new RegExp(`^${OWN_STATUS_PATH}$`, 'u'),
      handle: (match) => showOwnStatus(context, match),
    },
  ];
}

async function showStatus(parts: StatusParts, match: RouteMatch): Promise<void> {
  const { context, http, absentProcesses } = parts;
  // Applying the first file revokes the operator rights of the shared token, but the client that applied it
  // still polls the status with that token.
  if (!hasSharedToken(context, match.request)) {
    authenticateOperator(context, match.request);
  }
  const own = describeSelf(context);
  const others = await Promise.all(
    context.peers.others().map((peer) => requestPeerStatus(context, http, peer)),
  );
  sendJson(match.response, 200, {
    answeredBy: own.entryId,
    revision: Math.max(own.revision ?? 0, ...others.map(({ revision }) => revision ?? 0)),
    entries: [own, ...others],
    agents: context.agents.all().map((agent) => describeAgent(context, agent)),
    absent: absentProcesses.absent().map(({ name, revision, lastSeen }) => ({
      name,
      revision,
      silentMs: Math.round(context.clock.now() - lastSeen),
    })),
  });
}

/** Serves other entries, which have the shared token but no operator token. */
async function showOwnStatus(context: EntryContext, match: RouteMatch): Promise<void> {
  if (!hasSharedToken(context, match.request)) {
    throw new EntryError('this path requires the shared token of the entries', {
      code: ErrorCode.Unauthenticated,
    });
  }
  sendJson(match.response, 200, describeSelf(context));
}

function hasSharedToken(context: EntryContext, request: IncomingMessage): boolean {
  const token = bearerToken(request.headers.authorization);
  return token !== null && equalsInConstantTime(token, context.settings.sharedToken);
}

function describeSelf(context: EntryContext): EntryStatus {
  const self = context.peers.live().find(({ entryId }) => entryId === context.settings.entryId);
  return {
    entryId: context.settings.entryId,
    address: self?.address ?? '',
    location: context.settings.location,
    revision: context.configuration.revision(),
    confirmed: context.configuration.isConfirmed(context.clock.now()),
    waitingFor: [...context.waitingFor],
  };
}

async function requestPeerStatus(
  context: EntryContext,
  http: HttpClient,
  peer: KnownEntry,
): Promise<EntryStatus> {
  try {
    return await http.json<EntryStatus>(`${peer.address}${OWN_STATUS_PATH}`, {
      headers: { authorization: bearerHeader(context.settings.sharedToken) },
      timeoutMs: PEER_TIMEOUT_MS,
    });
  } catch {
    return {
      ...peer,
      revision: null,
      confirmed: false,
      waitingFor: ['an answer from this entry'],
    };
  }
}

function describeAgent(context: EntryContext, agent: KnownAgent): Record<string, unknown> {
  const { agentId, incarnation, state, address, location, revision, confirmed } = agent;
  const { capacity, free, instances, tasks } = agent;
  return {
    agentId,
    incarnation,
    state,
    address,
    location,
    revision,
    confirmed,
    capacity,
    free,
    instances,
    tasksHeld: tasks.length,
    heardMsAgo: Math.round(context.clock.now() - agent.lastHeartbeatAt),
  };
}
