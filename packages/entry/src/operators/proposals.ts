/**
 * Lists proposals: placements that need approval. An operator approves one by applying a file with its id.
 */
import { sendJson } from '@figjunction/http';
import type { Route, RouteMatch } from '@figjunction/http';
import { PROPOSAL_PREFIX, ProposalState, SCAN_ROWS_MAXIMUM } from '@figjunction/types';
import type { ProposalRow } from '@figjunction/types';
import { authenticateOperator } from '../authentication.js';
import type { EntryContext } from '../entry-context.js';

/** Maximum length of the list; `more` is true if there are others. */
const PROPOSALS_MAXIMUM = 1_000;

export function createProposalRoute(context: EntryContext): Route {
  return {
    method: 'GET',
    pattern: /^\/v1\/proposals$/u,
    handle: (match) => showProposals(context, match),
  };
}

async function showProposals(context: EntryContext, match: RouteMatch): Promise<void> {
  authenticateOperator(context, match.request);
  const open: ProposalRow[] = [];
  let after: string | null = '';
  while (after !== null && open.length < PROPOSALS_MAXIMUM) {
    const page: Awaited<ReturnType<typeof readPage>> = await readPage(context, after);
    open.push(...page.rows.map(({ value }) => value).filter(isOpen));
    after = page.nextAfter;
  }
  sendJson(match.response, 200, {
    proposals: open.slice(0, PROPOSALS_MAXIMUM),
    more: after !== null,
  });
}

function readPage(
  context: EntryContext,
  after: string,
): ReturnType<typeof context.table.scan<ProposalRow>> {
  return context.table.scan<ProposalRow>({
    prefix: PROPOSAL_PREFIX,
    after,
    limit: SCAN_ROWS_MAXIMUM,
  });
}

function isOpen({ state }: ProposalRow): boolean {
  return state === ProposalState.Open;
}
