/**
 * Starts one process of the system: `figjunctiond entry` or `figjunctiond agent`.
 */
import yargs from 'yargs';
import type { Options } from 'yargs';
import { hideBin } from 'yargs/helpers';
import { AGENT_OVERRIDES, ConfigurationError, ENTRY_OVERRIDES } from '@figjunction/config';
import type { SettingOverride } from '@figjunction/config';
import { runAgent } from './run-agent.js';
import { runEntry } from './run-entry.js';

const EXIT_CODE_FAILED = 1;
const EXIT_CODE_USAGE = 2;

/** Flags are read as text, so that the settings schema alone judges them. */
function flagOptions(overrides: SettingOverride[]): Record<string, Options> {
  return Object.fromEntries(
    overrides.flatMap(({ flag, environment, describe }) =>
      flag === null
        ? []
        : [[flag, { type: 'string' as const, describe: `${describe} (${environment})` }]],
    ),
  );
}

await yargs(hideBin(process.argv))
  .scriptName('figjunctiond')
  .usage(
    '$0 <command> --settings FILE\n\nSettings come from the file, then FIGJUNCTION_* variables, then flags.',
  )
  .command(
    'entry',
    'run an entry: the HTTP API for callers and operators, routing and placement',
    (command) =>
      command
        .option('settings', { type: 'string', describe: 'file of JSON with comments' })
        .options(flagOptions(ENTRY_OVERRIDES))
        .example('$0 entry --settings entry-1.jsonc --port 7001', 'start an entry on port 7001'),
    (flags) => runEntry(flags),
  )
  .command(
    'agent',
    'run an agent beside the worker of this VM',
    (command) =>
      command
        .option('settings', { type: 'string', describe: 'file of JSON with comments' })
        .options(flagOptions(AGENT_OVERRIDES))
        .example('$0 agent --settings agent-1.jsonc', 'start the agent of this VM'),
    (flags) => runAgent(flags),
  )
  .demandCommand(1, 'name what to run: entry or agent')
  .strict()
  .parserConfiguration({ 'dot-notation': false, 'duplicate-arguments-array': false })
  .fail((message: string | null, error: Error | undefined) => {
    console.error(`figjunctiond: ${error?.message ?? `${message}; see figjunctiond --help`}`);
    const isUsage = error === undefined || error instanceof ConfigurationError;
    process.exit(isUsage ? EXIT_CODE_USAGE : EXIT_CODE_FAILED);
  })
  .parseAsync();
