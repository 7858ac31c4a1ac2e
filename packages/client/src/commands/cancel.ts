/**
 * `figjunction cancel`: cancels the runs of a job that have not ended.
 */
import type { CommandModule } from 'yargs';
import { connect, show } from '../client-context.js';
import type { ClientContext, CommonFlags } from '../client-context.js';
import { requestCancellation } from '../job-requests.js';

interface Flags extends CommonFlags {
  job: string;
  team: string | undefined;
}

export function createCancelCommand(context: ClientContext): CommandModule<CommonFlags, Flags> {
  return {
    command: 'cancel <job>',
    describe: 'cancel the runs of a job that have not ended',
    builder: (command) =>
      command
        .positional('job', { type: 'string', demandOption: true, describe: 'id of the job' })
        .option('team', { type: 'string', describe: 'team of the job, for operators' })
        .example('$0 cancel overnight-menus', 'repeat it when the answer was lost'),
    async handler(flags): Promise<void> {
      const { job, team } = flags;
      const answer = await requestCancellation(connect(context, flags), job, team);
      show(context, flags, answer, () => `job ${job}: ${answer.cancelled} runs cancelled`);
    },
  };
}
