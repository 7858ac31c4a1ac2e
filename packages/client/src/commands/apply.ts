/**
 * `figjunction apply`: applies a whole file against the revision that the operator has seen, and waits
 * until every known process has it in force.
 */
import type { CommandModule } from 'yargs';
import { toError } from '@figjunction/errors';
import { SystemClock } from '@figjunction/time';
import { applyFile } from '../apply-file.js';
import { ClientError } from '../client-error.js';
import { OutputFormat, connect, requireNumbers, show } from '../client-context.js';
import type { ClientContext, CommonFlags } from '../client-context.js';
import { checkConfigurationFile, formatDifferences } from '../configuration-file.js';
import type { CheckedFile } from '../configuration-file.js';
import type { EntryConnection } from '../entry-connection.js';
import { requestPlan } from '../entry-requests.js';
import { ExitCode } from '../exit-code.js';
import { formatRollout, waitForRollout } from '../rollout.js';
import type { Rollout } from '../rollout.js';

interface Flags extends CommonFlags {
  file: string;
  'base-revision': number | undefined;
  yes: boolean;
  wait: boolean;
  'wait-seconds': number;
}

const DEFAULT_WAIT_SECONDS = 30;
const MILLISECONDS_PER_SECOND = 1_000;

export function createApplyCommand(context: ClientContext): CommandModule<CommonFlags, Flags> {
  return {
    command: 'apply <file>',
    describe: 'apply a whole file and wait until it is in force everywhere',
    builder: (command) =>
      command
        .positional('file', {
          type: 'string',
          demandOption: true,
          describe: 'path, or - for input',
        })
        .option('base-revision', {
          type: 'number',
          describe: 'revision that the file starts from, as shown by plan',
        })
        .option('yes', {
          type: 'boolean',
          default: false,
          describe: 'do not ask; start from the current revision',
        })
        .option('wait', { type: 'boolean', default: true, describe: 'wait for all processes' })
        .option('wait-seconds', {
          type: 'number',
          default: DEFAULT_WAIT_SECONDS,
          describe: 'how long to wait',
        })
        .example('$0 apply examples/karaca.jsonc --base-revision 1', 'apply what plan has shown')
        .example('$0 apply examples/karaca.jsonc --yes --output json', 'apply from a script')
        .epilogue(
          'Exits with 4 when another revision was applied first, 5 when not confirmed in time.',
        ),
    handler: (flags) => apply(context, flags),
  };
}

async function apply(context: ClientContext, flags: Flags): Promise<void> {
  requireNumbers(flags, ['base-revision', 'wait-seconds']);
  const file = await checkConfigurationFile(context, flags, flags.file);
  const entry = connect(context, flags);
  const baseRevision = flags['base-revision'] ?? (await agreeOnBase(context, flags, entry, file));
  const revision = await applyFile(context, flags, { entry, file, baseRevision });
  const rollout = flags.wait ? await followRollout(context, flags, entry, revision) : null;
  show(context, flags, { revision, rollout }, () => describeResult(revision, rollout));
  if (rollout !== null && rollout.missing.length > 0) {
    throw new ClientError(`revision ${revision} is applied but not confirmed by all processes`, {
      exitCode: ExitCode.NotConfirmed,
      nextStep: 'see "figjunction status" for what the listed processes wait for',
    });
  }
}

async function followRollout(
  context: ClientContext,
  flags: Flags,
  entry: EntryConnection,
  revision: number,
): Promise<Rollout> {
  try {
    return await waitForRollout({
      entry,
      revision,
      terminal: context.terminal,
      clock: new SystemClock(),
      timeoutMs: flags['wait-seconds'] * MILLISECONDS_PER_SECOND,
    });
  } catch (error) {
    throw new ClientError(
      `revision ${revision} is applied, but its progress cannot be read: ${toError(error).message}`,
      {
        exitCode: ExitCode.NotConfirmed,
        nextStep: 'see "figjunction status" with the token of an operator of the new file',
      },
    );
  }
}

function describeResult(revision: number, rollout: Rollout | null): string {
  const applied = `revision ${revision} is applied`;
  return rollout === null ? applied : `${applied}\n${formatRollout(rollout)}`;
}

/** Shows the differences and asks, so that nobody overwrites a revision that they have not seen. */
async function agreeOnBase(
  context: ClientContext,
  flags: Flags,
  entry: EntryConnection,
  file: CheckedFile,
): Promise<number> {
  const plan = await requestPlan(entry, file);
  plan.warnings.forEach((warning) => context.terminal.report(`warning: ${warning}`));
  if (flags.output !== OutputFormat.Json) {
    context.terminal.report(
      `changes against revision ${plan.currentRevision}:\n${formatDifferences(plan.differences)}`,
    );
  }
  if (flags.yes) {
    return plan.currentRevision;
  }
  if (!context.terminal.isInteractive()) {
    throw new ClientError('nobody can be asked whether to apply this', {
      exitCode: ExitCode.Usage,
      nextStep: `use --base-revision ${plan.currentRevision} or --yes`,
    });
  }
  const answer = await context.terminal.ask('apply? (yes/no) ');
  if (answer.trim().toLowerCase() !== 'yes') {
    throw new ClientError('nothing was applied', {
      exitCode: ExitCode.Declined,
      nextStep: 'answer "yes" to apply',
    });
  }
  return plan.currentRevision;
}
