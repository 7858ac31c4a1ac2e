/**
 * Collects the decision records about a subject from this entry, the other entries, the agent concerned
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

const ASK_TIMEOUT_MS = 1_000;

/** Ids hold letters, digits and hyphens; what is around them in a sentence does not. */
const WORD_SEPARATOR = /[^A-Za-z0-9-]+/u;

interface Collected {
  records: DecisionRecord[];
  /** Processes and stores that gave no answer, so that a gap is visible. */
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
  const visible = records.filter((record) => maySee(identity, record));
  // A record of another team gets the same answer as none, so that ids of other teams stay unknown.
  if (visible.length === 0) {
    const hint = unavailable.length === 0 ? '' : `; no answer from ${unavailable.join(', ')}`;
    const subject = `${parameters.subject} ${parameters.subjectId}`;
    throw new EntryError(`no decision about ${subject} is known${hint}`, {
      code: ErrorCode.NotFound,
    });
  }
  sendJson(match.response, 200, { ...parameters, records: visible, unavailable });
}

function maySee(identity: Identity, record: DecisionRecord): boolean {
  return identity.role === Role.Operator || record.team === identity.name;
}

async function collect(
  context: EntryContext,
  parameters: ExplainGetParameters,
): Promise<Collected> {
  const own = context.decisions.find(parameters.subject, parameters.subjectId);
  const [stored, ...fromPeers] = await Promise.all([
    readStored(context, parameters),
    ...context.peers
      .others()
      .map(({ entryId, address }) => ask(context, entryId, address, parameters)),
  ]);
  const known = join([{ records: own, unavailable: [] }, stored, ...fromPeers]);
  const agents = findAgents(context, parameters, known.records, stored.agents);
  const fromAgents = await Promise.all(
    agents.map((agentId) => askAgent(context, agentId, parameters)),
  );
  return join([known, ...fromAgents]);
}

function join(parts: Collected[]): Collected {
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

async function ask(
  context: EntryContext,
  name: string,
  address: string,
  parameters: ExplainGetParameters,
): Promise<Collected> {
  try {
    const { records } = await context.rpc.call(address, RpcMethod.ExplainGet, parameters, {
      timeoutMs: ASK_TIMEOUT_MS,
    });
    return { records, unavailable: [] };
  } catch {
    return { records: [], unavailable: [name] };
  }
}

function askAgent(
  context: EntryContext,
  agentId: AgentId,
  parameters: ExplainGetParameters,
): Promise<Collected> {
  const agent = context.agents.get(agentId);
  if (agent === undefined) {
    return Promise.resolve({ records: [], unavailable: [agentId] });
  }
  return ask(context, agentId, agent.address, parameters);
}

/** The agents that may have decided about the subject: those in its row and those in known decisions. */
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
  const named = context.agents.all().map(({ agentId }) => agentId);
  return [...new Set([...named.filter((agentId) => words.has(agentId)), ...storedAgents])];
}

interface Stored extends Collected {
  agents: AgentId[];
}

/** Decisions that outlive the process that made them: the last one about a run, and proposals. */
async function readStored(
  context: EntryContext,
  { subject, subjectId }: ExplainGetParameters,
): Promise<Stored> {
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

async function readTaskRow(context: EntryContext, taskId: string): Promise<Stored> {
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

async function readProposal(context: EntryContext, proposalId: string): Promise<Stored> {
  const [row] = await context.table.read<ProposalRow>([proposalKey(proposalId)]);
  return {
    records: row ? [row.value.explanation] : [],
    unavailable: [],
    agents: row ? [row.value.agentId] : [],
  };
}
