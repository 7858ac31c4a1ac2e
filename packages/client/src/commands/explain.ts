/**
 * `figjunction explain`: what was decided about something, and why.
 */
import type { CommandModule } from 'yargs';
import { ExplainSubject } from '@figjunction/types';
import type { DecisionInput, DecisionRecord } from '@figjunction/types';
import { connect, show } from '../client-context.js';
import type { ClientContext, CommonFlags } from '../client-context.js';

const FRACTION_DIGITS = 3;

interface Flags extends CommonFlags {
  subject: ExplainSubject;
  id: string;
}

interface ExplainAnswer {
  records: DecisionRecord[];
  unavailable: string[];
}

export function createExplainCommand(context: ClientContext): CommandModule<CommonFlags, Flags> {
  return {
    command: 'explain <subject> <id>',
    describe: 'show the decisions about a request, run, proposal or VM',
    builder: (command) =>
      command
        .positional('subject', { choices: Object.values(ExplainSubject), demandOption: true })
        .positional('id', { type: 'string', demandOption: true })
        .example('$0 explain run banquet-house.overnight-menus.gala', 'why a run is where it is')
        .example('$0 explain vm vm-1', 'what happened on a VM'),
    async handler(flags): Promise<void> {
      const path = `/v1/explain/${flags.subject}/${encodeURIComponent(flags.id)}`;
      const answer = await connect(context, flags).call<ExplainAnswer>('GET', path);
      show(context, flags, answer, () => formatAnswer(answer));
    },
  };
}

function formatAnswer({ records, unavailable }: ExplainAnswer): string {
  const missing =
    unavailable.length === 0
      ? []
      : [`no answer from ${unavailable.join(', ')}; records may be missing`];
  return [...records.map(formatRecord), ...missing].join('\n\n');
}

function formatRecord(record: DecisionRecord): string {
  const { decidedAt, decidedBy, kind, decision, configurationRevision, inputs, rejected } = record;
  return [
    `${decidedAt}  ${kind}  by ${decidedBy} under revision ${configurationRevision}`,
    `  decision: ${decision}`,
    ...(inputs.length === 0 ? [] : [`  inputs:   ${inputs.map(formatInput).join(', ')}`]),
    ...rejected.map(({ option, reason }) => `  rejected: ${option}: ${reason}`),
  ].join('\n');
}

function formatInput({ name, value }: DecisionInput): string {
  const isFraction = typeof value === 'number' && !Number.isInteger(value);
  return `${name}=${isFraction ? value.toFixed(FRACTION_DIGITS) : value}`;
}
