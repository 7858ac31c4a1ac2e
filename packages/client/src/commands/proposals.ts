/**
 * `figjunction proposals`: placements that wait for approval.
 */
import type { CommandModule } from 'yargs';
import type { ProposalRow } from '@figjunction/types';
import { connect, show } from '../client-context.js';
import type { ClientContext, CommonFlags } from '../client-context.js';
import { formatTable } from '../table.js';

interface ProposalsAnswer {
  proposals: ProposalRow[];
  more: boolean;
}

export function createProposalsCommand(
  context: ClientContext,
): CommandModule<CommonFlags, CommonFlags> {
  return {
    command: 'proposals',
    describe: 'list placements that wait for approval',
    builder: (command) =>
      command
        .example('$0 proposals', 'then add the ids to "approvedProposals" and apply the file')
        .epilogue('A proposal takes effect once an applied file names its id.'),
    async handler(flags): Promise<void> {
      const answer = await connect(context, flags).call<ProposalsAnswer>('GET', '/v1/proposals');
      show(context, flags, answer, () => formatProposals(answer));
    },
  };
}

function formatProposals({ proposals, more }: ProposalsAnswer): string {
  const table = formatTable(
    ['proposal', 'task', 'kind', 'team', 'vm', 'decision'],
    proposals.map((proposal) => [
      proposal.proposalId,
      proposal.taskId,
      proposal.kind,
      proposal.team,
      proposal.agentId,
      proposal.explanation.decision,
    ]),
    'no open proposals',
  );
  return more ? `${table}\nand more` : table;
}
