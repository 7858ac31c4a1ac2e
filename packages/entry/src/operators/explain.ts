/**
 * Collects the decision records about a subject from this entry, the other entries, the agents involved
 * and the table.
 */
import { ErrorCode } from '@figjunction/errors';
import { sendJson } from '@figjunction/http';
import type { Route, RouteMatch } from '@figjunction/http';
import { ExplainSubject, Role, RpcMethod, proposalKey } from '@figjunction/types';
import type {
  AgentId,
  DecisionRecord,
  ExplainGetParameters,
  ProposalRow,
  TaskRow,
} from '@figjunction/types';
import { authenticate } from '../authentication.js';
import type { Identity } from '../authentication.js';
import type { EntryContext } from '../entry-context.js';
import { EntryError } from '../entry-error.js';
import { keyOfTaskId } from '../tasks/task-identifiers.js';

const REQUEST_TIMEOUT_MS = 1_000;

/** Ids consist of letters, digits and hyphens; any other character separates them from the text around. */
const WORD_SEPARATOR = /[^A-Za-z0-9-]+/u;

interface CollectedRecords {
  records: DecisionRecord[];
  /** Processes and stores that did not respond, so that missing records are visible. */
  unavailable: string[];
}

export function createExplainRoute(context: EntryContext): Route {
  return {
    method: 'GET',
    pattern: /^\/v1\/explain\/(?<subject>request|run|proposal|vm)\/(?<subjectId>[^/]+)$/u,
    handle: (match) => explain(context, match),
  };
}

async function explain(context: EntryContext, match: RouteMatch): Promise<void> {
  const identity = authenticate(context, match.request);
  const parameters = {
    subject: match.parameters.subject as ExplainSubject,
    subjectId: match.parameters.subjectId ?? '',
  };
  const { records, unavailable } = await collect(context, parameters);
  const visible = records.filter((record) => canSee(identity, record));
  // Records of another team are reported as not found, so that callers cannot probe ids of other teams.
  if (visible.length === 0) {
    const hint = unavailable.length === 0 ? '' : `; no response from ${unavailable.join(', ')}`;
    const subject = `${parameters.subject} ${parameters.subjectId}`;
    throw new EntryError(`no decision about ${subject} is known${hint}`, {
      code: ErrorCode.NotFound,
    });
  }
  sendJson(match.response, 200, { ...parameters, records: visible, unavailable });
}

function canSee(identity: Identity, record: DecisionRecord): boolean {
  return identity.role === Role.Operator || record.team === identity.name;
}

async function collect(
  context: EntryContext,
  parameters: ExplainGetParameters,
): Promise<CollectedRecords> {
  const own = context.decisions.find(parameters.subject, parameters.subjectId);
  const [stored, ...fromPeers] = await Promise.all([
    readStored(context, parameters),
    ...context.peers
      .others()
      .map(({ entryId, address }) => requestRecords(context, entryId, address, parameters)),
  ]);
  const known = mergeRecords([{ records: own, unavailable: [] }, stored, ...fromPeers]);
  const agents = findAgents(context, parameters, known.records, stored.agents);
  const fromAgents = await Promise.all(
    agents.map((agentId) => requestAgentRecords(context, agentId, parameters)),
  );
  return mergeRecords([known, ...fromAgents]);
}

function mergeRecords(parts: CollectedRecords[]): CollectedRecords {
  const byText = new Map<string, DecisionRecord>();
  for (const record of parts.flatMap(({ records }) => records)) {
    byText.set(JSON.stringify(record), record);
  }
  return {
    records: [...byText.values()].sort((left, right) =>
      left.decidedAt.localeCompare(right.decidedAt),
    ),
    unavailable: parts.flatMap(({ unavailable }) => unavailable),
  };
}

async function requestRecords(
  context: EntryContext,
  name: string,
  address: string,
  parameters: ExplainGetParameters,
): Promise<CollectedRecords> {
  try {
    const { records } = await context.rpc.call(address, RpcMethod.ExplainGet, parameters, {
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
    return { records, unavailable: [] };
  } catch {
    return { records: [], unavailable: [name] };
  }
}

function requestAgentRecords(
  context: EntryContext,
  agentId: AgentId,
  parameters: ExplainGetParameters,
): Promise<CollectedRecords> {
  const agent = context.agents.get(agentId);
  if (agent === undefined) {
    return Promise.resolve({ records: [], unavailable: [agentId] });
  }
  return requestRecords(context, agentId, agent.address, parameters);
}

/** Returns the agents that may have records: those in the row of the subject and those in known decisions. */
function findAgents(
  context: EntryContext,
  { subject, subjectId }: ExplainGetParameters,
  records: DecisionRecord[],
  storedAgents: AgentId[],
): AgentId[] {
  if (subject === ExplainSubject.Vm) {
    return [subjectId];
  }
  const words = new Set(records.flatMap(({ decision }) => decision.split(WORD_SEPARATOR)));
  const knownAgentIds = context.agents.all().map(({ agentId }) => agentId);
  return [...new Set([...knownAgentIds.filter((agentId) => words.has(agentId)), ...storedAgents])];
}

interface StoredRecords extends CollectedRecords {
  agents: AgentId[];
}

/** Reads the decisions stored in the table: the last one about a run, and the one of a proposal. */
async function readStored(
  context: EntryContext,
  { subject, subjectId }: ExplainGetParameters,
): Promise<StoredRecords> {
  try {
    if (subject === ExplainSubject.Run) {
      return await readTaskRow(context, subjectId);
    }
    if (subject === ExplainSubject.Proposal) {
      return await readProposal(context, subjectId);
    }
    return { records: [], unavailable: [], agents: [] };
  } catch {
    return { records: [], unavailable: ['the table'], agents: [] };
  }
}

async function readTaskRow(context: EntryContext, taskId: string): Promise<StoredRecords> {
  const key = keyOfTaskId(taskId);
  const [row] = key === null ? [] : await context.table.read<TaskRow>([key]);
  return {
    records: row?.value.lastDecision ? [row.value.lastDecision] : [],
    unavailable: [],
    agents: row ? [...holderOf(row.value), ...row.value.failedOn] : [],
  };
}

function holderOf({ holder }: TaskRow): AgentId[] {
  return holder === null ? [] : [holder.agentId];
}

async function readProposal(context: EntryContext, proposalId: string): Promise<StoredRecords> {
  const [row] = await context.table.read<ProposalRow>([proposalKey(proposalId)]);
  return {
    records: row ? [row.value.explanation] : [],
    unavailable: [],
    agents: row ? [row.value.agentId] : [],
  };
}
