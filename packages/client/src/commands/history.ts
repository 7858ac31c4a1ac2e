/**
 * `figjunction history`: earlier revisions, and the text of one.
 */
import type { CommandModule } from 'yargs';
import { connect, requireNumbers, show } from '../client-context.js';
import type { ClientContext, CommonFlags } from '../client-context.js';
import { requestConfiguration } from '../entry-requests.js';
import type { RevisionSummary } from '../entry-requests.js';
import { formatTable } from '../table.js';

interface Flags extends CommonFlags {
  revision: number | undefined;
}

const HASH_DIGITS_SHOWN = 12;

export function createHistoryCommand(context: ClientContext): CommandModule<CommonFlags, Flags> {
  return {
    command: 'history [revision]',
    describe: 'list applied revisions, or print the file of one',
    builder: (command) =>
      command
        .positional('revision', { type: 'number', describe: 'print the file of this revision' })
        .example('$0 history', 'who applied what, and when')
        .example('$0 history 1 > before.jsonc', 'get back the file of an earlier revision'),
    async handler(flags): Promise<void> {
      requireNumbers(flags, ['revision']);
      const { revision } = flags;
      await (revision === undefined
        ? list(context, flags)
        : printRevision(context, flags, revision));
    },
  };
}

async function list(context: ClientContext, flags: Flags): Promise<void> {
  const entry = connect(context, flags);
  const answer = await entry.call<{ revisions: RevisionSummary[] }>(
    'GET',
    '/v1/configuration/history',
  );
  show(context, flags, answer, () =>
    formatTable(
      ['revision', 'applied at', 'applied by', 'sha-256'],
      answer.revisions.map(({ revision, appliedAt, appliedBy, bodyHash }) => [
        String(revision),
        appliedAt ?? '',
        appliedBy ?? '',
        (bodyHash ?? '').slice(0, HASH_DIGITS_SHOWN),
      ]),
      'nothing was applied yet',
    ),
  );
}

async function printRevision(
  context: ClientContext,
  flags: Flags,
  revision: number,
): Promise<void> {
  const answer = await requestConfiguration(connect(context, flags), revision);
  show(context, flags, answer, () => (answer.body ?? '').trimEnd());
}
