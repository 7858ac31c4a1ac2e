/**
 * Who is calling: tokens are looked up by their SHA-256 in the configuration in force. Hashes of all
 * candidates are compared in constant time.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { TeamConfiguration } from '@figjunction/config';
import { ErrorCode } from '@figjunction/errors';
import { bearerToken } from '@figjunction/rpc';
import { Role } from '@figjunction/types';
import type { EntryContext } from './entry-context.js';
import { EntryError } from './entry-error.js';

export interface OperatorIdentity {
  role: Role.Operator;
  name: string;
}

export interface CallerIdentity {
  role: Role.Caller;
  name: string;
  team: TeamConfiguration;
}

export type Identity = OperatorIdentity | CallerIdentity;

function matches(sha256: string, tokenHash: Buffer): boolean {
  return timingSafeEqual(Buffer.from(sha256, 'hex'), tokenHash);
}

/**
 * Before the first configuration is applied nobody has a token; the shared token of the processes then
 * counts as an operator's, so that the first file can be applied.
 */
export function authenticate(context: EntryContext, request: IncomingMessage): Identity {
  const token = bearerToken(request.headers.authorization);
  if (token === null) {
    throw new EntryError('send a token as "authorization: Bearer <token>"', {
      code: ErrorCode.Unauthenticated,
    });
  }
  const hash = createHash('sha256').update(token).digest();
  const identity = findOperator(context, hash) ?? findCaller(context, hash);
  if (identity === null) {
    throw new EntryError('the token is not known', { code: ErrorCode.Unauthenticated });
  }
  return identity;
}

export function authenticateOperator(
  context: EntryContext,
  request: IncomingMessage,
): OperatorIdentity {
  const identity = authenticate(context, request);
  if (identity.role !== Role.Operator) {
    throw new EntryError('this needs the token of an operator', { code: ErrorCode.Forbidden });
  }
  return identity;
}

/** Checks that the identity may see or act for a team. */
export function requireTeam(identity: Identity, team: string | null): void {
  if (identity.role === Role.Caller && identity.name !== team) {
    throw new EntryError('this belongs to another team', { code: ErrorCode.Forbidden });
  }
}

function findOperator(context: EntryContext, hash: Buffer): OperatorIdentity | null {
  const sharedHash = createHash('sha256').update(context.settings.sharedToken).digest();
  const operators = context.configuration.current()?.configuration.operators ?? [];
  if (operators.length === 0 && timingSafeEqual(sharedHash, hash)) {
    return { role: Role.Operator, name: 'bootstrap' };
  }
  const found = operators.find(({ tokens }) => tokens.some(({ sha256 }) => matches(sha256, hash)));
  return found === undefined ? null : { role: Role.Operator, name: found.name };
}

function findCaller(context: EntryContext, hash: Buffer): CallerIdentity | null {
  const teams = context.configuration.current()?.configuration.teams ?? [];
  const team = teams.find(({ tokens }) => tokens.some(({ sha256 }) => matches(sha256, hash)));
  return team === undefined ? null : { role: Role.Caller, name: team.name, team };
}
