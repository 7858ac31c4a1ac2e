/**
 * `figjunction validate`: checks a file without any entry.
 */
import type { CommandModule } from 'yargs';
import { show } from '../client-context.js';
import type { ClientContext, CommonFlags } from '../client-context.js';
import { checkConfigurationFile } from '../configuration-file.js';

interface Flags extends CommonFlags {
  file: string;
}

export function createValidateCommand(context: ClientContext): CommandModule<CommonFlags, Flags> {
  return {
    command: 'validate <file>',
    describe: 'check a file; needs no entry',
    builder: (command) =>
      command
        .positional('file', {
          type: 'string',
          demandOption: true,
          describe: 'path, or - for input',
        })
        .example('$0 validate examples/karaca.jsonc', 'check a file before a review'),
    async handler(flags): Promise<void> {
      const { fileName, configuration } = await checkConfigurationFile(context, flags, flags.file);
      const { services, batchKinds, teams, operators } = configuration;
      const counts = {
        services: services.length,
        batchKinds: batchKinds.length,
        teams: teams.length,
        operators: operators.length,
      };
      show(context, flags, { valid: true, ...counts }, () => {
        const parts = Object.entries(counts).map(([name, count]) => `${name}: ${count}`);
        return `${fileName} is valid (${parts.join(', ')})`;
      });
    },
  };
}
