/**
 * Drains a VM: its agent announces that it is leaving, finishes its current work and accepts no new work.
 */
import { ErrorCode, toError } from '@figjunction/errors';
import { sendJson } from '@figjunction/http';
import type { Route, RouteMatch } from '@figjunction/http';
import { DecisionKind, ExplainSubject, RpcMethod } from '@figjunction/types';
import { authenticateOperator } from '../authentication.js';
import type { EntryContext } from '../entry-context.js';
import { EntryError } from '../entry-error.js';

const DRAIN_PATTERN = /^\/v1\/vms\/(?<agentId>[^/]+)\/drain$/u;

export function createDrainRoutes(context: EntryContext): Route[] {
  return [
    {
      method: 'POST',
      pattern: DRAIN_PATTERN,
      handle: (match) => setDrain(context, match, true),
    },
    {
      method: 'DELETE',
      pattern: DRAIN_PATTERN,
      handle: (match) => setDrain(context, match, false),
    },
  ];
}

async function setDrain(context: EntryContext, match: RouteMatch, drain: boolean): Promise<void> {
  const operator = authenticateOperator(context, match.request);
  const agentId = match.parameters.agentId ?? '';
  const agent = context.agents.get(agentId);
  if (agent === undefined) {
    throw new EntryError(`no agent ${agentId} has announced itself here`, {
      code: ErrorCode.NotFound,
    });
  }
  await sendDrain(context, agent.address, agentId, drain);
  recordDecision(context, agentId, operator.name, drain);
  sendJson(match.response, 200, { agentId, drain });
}

async function sendDrain(
  context: EntryContext,
  address: string,
  agentId: string,
  drain: boolean,
): Promise<void> {
  try {
    await context.rpc.call(address, RpcMethod.AgentDrain, { drain });
  } catch (error) {
    throw new EntryError(`agent ${agentId} did not confirm the request; it is safe to retry`, {
      code: ErrorCode.Unavailable,
      cause: toError(error),
    });
  }
}

function recordDecision(
  context: EntryContext,
  agentId: string,
  operator: string,
  drain: boolean,
): void {
  context.decisions.add({
    subject: ExplainSubject.Vm,
    subjectId: agentId,
    kind: DecisionKind.Drain,
    decidedAt: new Date(context.clock.wallTimeMs()).toISOString(),
    decidedBy: context.settings.entryId,
    configurationRevision: context.configuration.revision(),
    decision: drain ? 'drain the VM' : 'end the drain of the VM',
    inputs: [{ name: 'operator', value: operator }],
    rejected: [],
    team: null,
  });
  context.logger.info({ agentId, operator, drain }, drain ? 'drain requested' : 'drain ended');
}
