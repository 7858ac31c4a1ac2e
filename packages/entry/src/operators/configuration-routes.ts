/**
 * The HTTP routes for operators to read, plan and apply configuration.
 */
import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import {
  CONFIGURATION_BYTES_MAXIMUM,
  compareConfigurations,
  parseOperatorConfiguration,
} from '@figjunction/config';
import type { OperatorConfiguration, ParsedOperatorConfiguration } from '@figjunction/config';
import { ErrorCode } from '@figjunction/errors';
import { readJson, sendJson } from '@figjunction/http';
import type { Route, RouteMatch } from '@figjunction/http';
import { bearerToken, equalsInConstantTime } from '@figjunction/rpc';
import { z } from 'zod';
import { authenticateOperator } from '../authentication.js';
import type { EntryContext } from '../entry-context.js';
import { EntryError } from '../entry-error.js';
import { applyConfiguration, readCurrentRow } from './apply-configuration.js';
import { findBody } from './configuration-body.js';

/** In the worst case JSON escapes every byte of the file. */
const REQUEST_BYTES_MAXIMUM = 2 * CONFIGURATION_BYTES_MAXIMUM + 64 * 1024;
const WARNING_LOCKED_OUT =
  'the file names no operator with the token in use; once it is applied, this token is refused';
const STATUS_CONFLICT = 409;
const STATUS_INVALID_FILE = 422;

const planSchema = z.strictObject({
  body: z.string(),
  fileName: z.string().min(1).max(1_000).default('configuration.jsonc'),
});

const applySchema = planSchema.extend({ baseRevision: z.int().min(0) });

export function createConfigurationRoutes(context: EntryContext): Route[] {
  return [
    {
      method: 'GET',
      pattern: /^\/v1\/configuration$/u,
      handle: (match) => showConfiguration(context, match),
    },
    {
      method: 'GET',
      pattern: /^\/v1\/configuration\/history$/u,
      handle: (match) => showHistory(context, match),
    },
    {
      method: 'POST',
      pattern: /^\/v1\/configuration\/plan$/u,
      handle: (match) => plan(context, match),
    },
    {
      method: 'POST',
      pattern: /^\/v1\/configuration$/u,
      handle: (match) => apply(context, match),
    },
  ];
}

async function showConfiguration(context: EntryContext, match: RouteMatch): Promise<void> {
  authenticateOperator(context, match.request);
  const wanted = match.query.get('revision');
  if (wanted !== null) {
    await showRevision(context, match, Number(wanted));
    return;
  }
  const row = (await readCurrentRow(context).catch(() => null))?.value;
  const inForce = context.configuration.current();
  if (row !== undefined && row.revision >= context.configuration.revision()) {
    const { revision, bodyHash, appliedBy, appliedAt } = row;
    const body = await findBody(context, row);
    sendJson(match.response, 200, { revision, bodyHash, appliedBy, appliedAt, body });
    return;
  }
  // The table is unavailable or behind: return the revision that this process uses.
  sendJson(match.response, 200, {
    revision: context.configuration.revision(),
    bodyHash: inForce?.bodyHash ?? null,
    appliedBy: null,
    appliedAt: null,
    body: inForce?.body ?? null,
  });
}

/** Sends an earlier revision that is still in the history. */
async function showRevision(
  context: EntryContext,
  match: RouteMatch,
  wanted: number,
): Promise<void> {
  const row = (await readCurrentRow(context))?.value;
  const found = [row, ...(row?.history ?? [])].find((candidate) => candidate?.revision === wanted);
  if (found === undefined) {
    throw new EntryError(`revision ${wanted} is not in the history`, { code: ErrorCode.NotFound });
  }
  const { revision, bodyHash, appliedBy, appliedAt } = found;
  const body = await findBody(context, found);
  sendJson(match.response, 200, { revision, bodyHash, appliedBy, appliedAt, body });
}

async function showHistory(context: EntryContext, match: RouteMatch): Promise<void> {
  authenticateOperator(context, match.request);
  const row = (await readCurrentRow(context))?.value;
  if (row === undefined) {
    sendJson(match.response, 200, { revisions: [] });
    return;
  }
  const { revision, bodyHash, appliedBy, appliedAt, history } = row;
  const revisions = [{ revision, bodyHash, appliedBy, appliedAt }, ...history];
  sendJson(match.response, 200, { revisions });
}

async function plan(context: EntryContext, match: RouteMatch): Promise<void> {
  authenticateOperator(context, match.request);
  const { body, fileName } = await readParameters(match, planSchema);
  const parsed = parseOperatorConfiguration(body, fileName);
  if ('problems' in parsed) {
    sendProblems(match, parsed);
    return;
  }
  const inForce = context.configuration.current();
  sendJson(match.response, 200, {
    currentRevision: context.configuration.revision(),
    differences: compareConfigurations(inForce?.configuration ?? null, parsed.configuration),
    warnings: acceptsToken(parsed.configuration, match.request) ? [] : [WARNING_LOCKED_OUT],
  });
}

async function apply(context: EntryContext, match: RouteMatch): Promise<void> {
  const operator = authenticateOperator(context, match.request);
  const { baseRevision, body, fileName } = await readParameters(match, applySchema);
  const parsed = parseOperatorConfiguration(body, fileName);
  if ('problems' in parsed) {
    sendProblems(match, parsed);
    return;
  }
  const { revision, conflict } = await applyConfiguration(context, {
    baseRevision,
    body,
    configuration: parsed.configuration,
    appliedBy: operator.name,
  });
  if (conflict === null) {
    sendJson(match.response, 200, { revision });
    return;
  }
  context.metrics.count('configuration_conflicts_total');
  sendJson(match.response, STATUS_CONFLICT, {
    code: ErrorCode.Conflict,
    message: `the file is based on revision ${baseRevision}, but revision ${revision} is current`,
    currentRevision: revision,
    currentAppliedBy: conflict.appliedBy,
    currentBody: await findBody(context, conflict),
  });
}

/** If the file names no operators, the shared token keeps its operator rights. */
function acceptsToken({ operators }: OperatorConfiguration, request: IncomingMessage): boolean {
  const token = bearerToken(request.headers.authorization) ?? '';
  const hash = createHash('sha256').update(token).digest('hex');
  return (
    operators.length === 0 ||
    operators.some(({ tokens }) => tokens.some(({ sha256 }) => equalsInConstantTime(sha256, hash)))
  );
}

function sendProblems(
  match: RouteMatch,
  parsed: Extract<ParsedOperatorConfiguration, { problems: unknown }>,
): void {
  const { problems } = parsed;
  sendJson(match.response, STATUS_INVALID_FILE, {
    code: ErrorCode.InvalidInput,
    message: `the file has ${problems.length} problems; nothing was applied`,
    problems,
  });
}

async function readParameters<Schema extends z.ZodType>(
  { request }: RouteMatch,
  schema: Schema,
): Promise<z.infer<Schema>> {
  const body = await readJson(request, REQUEST_BYTES_MAXIMUM);
  const result = schema.safeParse(body);
  if (result.success) {
    return result.data;
  }
  const [issue] = result.error.issues;
  throw new EntryError(`${issue?.path.join('.') || 'the body'}: ${issue?.message}`, {
    code: ErrorCode.InvalidInput,
  });
}
