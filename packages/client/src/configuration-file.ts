/**
 * Reads and checks the operators' file, and shows its problems and its differences.
 */
import { readFileSync } from 'node:fs';
import { formatProblem, parseOperatorConfiguration } from '@figjunction/config';
import type {
  ConfigurationDifference,
  ConfigurationProblem,
  OperatorConfiguration,
} from '@figjunction/config';
import { toError } from '@figjunction/errors';
import { ClientError } from './client-error.js';
import type { ClientContext, CommonFlags } from './client-context.js';
import { OutputFormat } from './client-context.js';
import { ExitCode } from './exit-code.js';

/** What the command line calls `-`; its parser drops a single hyphen. */
export const STANDARD_INPUT = '/dev/stdin';
const VALUE_LENGTH_SHOWN = 70;
const SIGNS: Record<ConfigurationDifference['kind'], string> = {
  added: '+',
  removed: '-',
  changed: '~',
};

export interface ConfigurationFile {
  fileName: string;
  body: string;
}

export interface CheckedFile extends ConfigurationFile {
  configuration: OperatorConfiguration;
}

async function readConfigurationFile(
  context: ClientContext,
  file: string,
): Promise<ConfigurationFile> {
  if (file === STANDARD_INPUT) {
    return { fileName: 'standard input', body: await context.terminal.readInput() };
  }
  try {
    return { fileName: file, body: readFileSync(file, 'utf8') };
  } catch (error) {
    throw new ClientError(`${file} cannot be read: ${toError(error).message}`, {
      exitCode: ExitCode.InvalidFile,
      nextStep: 'check the path',
    });
  }
}

/** Reads a file and refuses it here when it is not valid, before any entry is asked. */
export async function checkConfigurationFile(
  context: ClientContext,
  flags: CommonFlags,
  name: string,
): Promise<CheckedFile> {
  const file = await readConfigurationFile(context, name);
  const parsed = parseOperatorConfiguration(file.body, file.fileName);
  if ('problems' in parsed) {
    showProblems(context, flags, parsed.problems);
    throw invalidFile(file.fileName, parsed.problems.length);
  }
  return { ...file, configuration: parsed.configuration };
}

export function showProblems(
  context: ClientContext,
  flags: CommonFlags,
  problems: ConfigurationProblem[],
): void {
  if (flags.output === OutputFormat.Json) {
    context.terminal.print(JSON.stringify({ problems }, null, 2));
    return;
  }
  problems.forEach((problem) => context.terminal.report(formatProblem(problem)));
}

export function invalidFile(fileName: string, count: number): ClientError {
  const problems = count === 1 ? '1 problem' : `${count} problems`;
  return new ClientError(`${fileName} has ${problems}; nothing was applied`, {
    exitCode: ExitCode.InvalidFile,
    nextStep: 'correct the places above and run "figjunction validate"',
  });
}

export function formatDifferences(differences: ConfigurationDifference[]): string {
  if (differences.length === 0) {
    return 'no differences';
  }
  return differences.map(formatDifference).join('\n');
}

function formatDifference({ kind, path, before, after }: ConfigurationDifference): string {
  const line = `${SIGNS[kind]} ${path}`;
  if (after === null) {
    return line;
  }
  const values = [before, after].filter((value) => value !== null).map(shorten);
  return `${line}: ${values.join(' -> ')}`;
}

/** The JSON output has the whole values. */
function shorten(value: string): string {
  return value.length <= VALUE_LENGTH_SHOWN ? value : `${value.slice(0, VALUE_LENGTH_SHOWN)}…`;
}
