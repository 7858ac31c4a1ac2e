/**
 * Parses a command line, runs the command and returns its exit code.
 */
import yargs from 'yargs';
import type { Argv } from 'yargs';
import { toError } from '@figjunction/errors';
import { ClientError } from './client-error.js';
import { OutputFormat } from './client-context.js';
import type { ClientContext, CommonFlags } from './client-context.js';
import { STANDARD_INPUT } from './configuration-file.js';
import { createCommands } from './commands/index.js';
import { EXIT_CODE_HELP, ExitCode } from './exit-code.js';

export async function runClient(commandLine: string[], context: ClientContext): Promise<ExitCode> {
  try {
    await createParser(commandLine, context).parseAsync();
    return ExitCode.Success;
  } catch (error) {
    context.terminal.progress('');
    return reportError(context, toError(error));
  }
}

function createParser(commandLine: string[], context: ClientContext): Argv<CommonFlags> {
  const words = commandLine.map((word) => (word === '-' ? STANDARD_INPUT : word));
  const parser = yargs(words)
    .scriptName('figjunction')
    .usage('$0 <command>\n\nTalks to an entry of figjunction.')
    .option('address', {
      type: 'string',
      describe: 'addresses of entries, separated by commas (FIGJUNCTION_ADDRESS)',
    })
    .option('token', {
      type: 'string',
      describe: 'token; other users of this machine can see flags, so prefer FIGJUNCTION_TOKEN',
    })
    .option('output', {
      alias: 'o',
      choices: Object.values(OutputFormat),
      default: OutputFormat.Table,
      describe: 'tables for people or JSON for programs',
    })
    .parserConfiguration({ 'duplicate-arguments-array': false, 'dot-notation': false })
    .completion('completion', 'print a script for completion in bash or zsh')
    .example('$0 status', 'see every process and the revision it has in force')
    .example('$0 plan examples/karaca.jsonc', 'see what a file would change')
    .example('$0 <command> --help', 'flags and examples of a command')
    .epilogue(EXIT_CODE_HELP)
    .demandCommand(1, 'name a command')
    .strict()
    .exitProcess(false)
    .fail(false);
  return createCommands(context).reduce(
    (current, command) => current.command(command),
    parser as Argv<CommonFlags>,
  );
}

/** Commands throw only `ClientError`; every other error comes from the parser of the command line. */
function reportError(context: ClientContext, error: Error): ExitCode {
  if (error instanceof ClientError) {
    const next = error.nextStep === null ? '' : `; ${error.nextStep}`;
    context.terminal.report(`figjunction: ${error.message}${next}`);
    return error.exitCode;
  }
  const line = error.message.replace(/\s*\n\s*/gu, ' ');
  context.terminal.report(`figjunction: ${line}; see "figjunction --help"`);
  return ExitCode.Usage;
}
