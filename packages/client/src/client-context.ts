/**
 * What every command gets: the terminal, the chosen output format and a connection to the entries.
 */
import { ClientError } from './client-error.js';
import { EntryConnection } from './entry-connection.js';
import { ExitCode } from './exit-code.js';
import type { Terminal } from './terminal.js';

export enum OutputFormat {
  Table = 'table',
  Json = 'json',
}

/** Flags that every command accepts. */
export interface CommonFlags {
  address: string | undefined;
  token: string | undefined;
  output: OutputFormat;
}

export interface ClientContext {
  terminal: Terminal;
  environment: Record<string, string | undefined>;
}

export function connect(context: ClientContext, flags: CommonFlags): EntryConnection {
  const addresses = flags.address ?? context.environment.FIGJUNCTION_ADDRESS ?? '';
  return new EntryConnection({
    addresses: addresses
      .split(',')
      .map((address) => address.trim().replace(/\/$/u, ''))
      .filter((address) => address !== ''),
    token: flags.token ?? context.environment.FIGJUNCTION_TOKEN ?? '',
  });
}

/** Prints a value as JSON for programs or as text for people. */
export function show(
  context: ClientContext,
  flags: CommonFlags,
  value: unknown,
  describe: () => string,
): void {
  const isJson = flags.output === OutputFormat.Json;
  context.terminal.print(isJson ? JSON.stringify(value, null, 2) : describe());
}

/** Refuses flags that are no whole numbers; the parser of the command line lets them pass as NaN. */
export function requireNumbers<Flags>(flags: Flags, names: (keyof Flags & string)[]): void {
  for (const name of names) {
    const value = flags[name];
    if (value !== undefined && !(Number.isSafeInteger(value) && Number(value) >= 0)) {
      throw new ClientError(`${name} must be a whole number of at least 0`, {
        exitCode: ExitCode.Usage,
        nextStep: 'see "figjunction --help"',
      });
    }
  }
}
