/**
 * `figjunction drain`: empties a VM before a planned stop, or ends the drain.
 */
import type { CommandModule } from 'yargs';
import { connect, show } from '../client-context.js';
import type { ClientContext, CommonFlags } from '../client-context.js';

interface Flags extends CommonFlags {
  vm: string;
  end: boolean;
}

export function createDrainCommand(context: ClientContext): CommandModule<CommonFlags, Flags> {
  return {
    command: 'drain <vm>',
    describe: 'let a VM finish what it has and take nothing new',
    builder: (command) =>
      command
        .positional('vm', { type: 'string', demandOption: true, describe: 'id of the agent' })
        .option('end', { type: 'boolean', default: false, describe: 'take work again' })
        .example('$0 drain vm-1', 'before a planned stop of vm-1')
        .example('$0 drain vm-1 --end', 'let vm-1 take work again'),
    async handler(flags): Promise<void> {
      const path = `/v1/vms/${encodeURIComponent(flags.vm)}/drain`;
      const answer = await connect(context, flags).call(flags.end ? 'DELETE' : 'POST', path);
      show(context, flags, answer, () =>
        flags.end
          ? `${flags.vm} takes work again`
          : `${flags.vm} drains; "figjunction status" shows when it is empty`,
      );
    },
  };
}
