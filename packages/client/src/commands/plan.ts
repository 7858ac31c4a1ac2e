/**
 * `figjunction plan`: shows what a file would change, before it does.
 */
import type { CommandModule } from 'yargs';
import { connect, show } from '../client-context.js';
import type { ClientContext, CommonFlags } from '../client-context.js';
import { checkConfigurationFile, formatDifferences } from '../configuration-file.js';
import { requestPlan } from '../entry-requests.js';

interface Flags extends CommonFlags {
  file: string;
}

export function createPlanCommand(context: ClientContext): CommandModule<CommonFlags, Flags> {
  return {
    command: 'plan <file>',
    describe: 'show what a file would change',
    builder: (command) =>
      command
        .positional('file', {
          type: 'string',
          demandOption: true,
          describe: 'path, or - for input',
        })
        .example('$0 plan examples/karaca.jsonc', 'compare a file with the revision in force'),
    async handler(flags): Promise<void> {
      const file = await checkConfigurationFile(context, flags, flags.file);
      const plan = await requestPlan(connect(context, flags), file);
      show(context, flags, plan, () =>
        [
          `${file.fileName} against revision ${plan.currentRevision}:`,
          formatDifferences(plan.differences),
          ...plan.warnings.map((warning) => `warning: ${warning}`),
          '',
          `To apply exactly this: figjunction apply ${flags.file} --base-revision ${plan.currentRevision}`,
        ].join('\n'),
      );
    },
  };
}
