/**
 * Starts the modules of the entry daemon in the runtime that all daemons share.
 */
import { startDaemon } from '@figjunction/runtime';
import type { RunningDaemon } from '@figjunction/runtime';
import type { EntryContext } from './entry-context.js';
import { createMembershipModule } from './membership/index.js';
import { createOperatorModule } from './operators/index.js';
import { createRequestModule } from './requests/index.js';
import { createTaskModule } from './tasks/index.js';

export function startEntry(context: EntryContext): Promise<RunningDaemon> {
  return startDaemon({
    context,
    modules: [
      createMembershipModule(context),
      createOperatorModule(context),
      createTaskModule(context),
      createRequestModule(context),
    ],
    onListening: (address) => context.peers.setOwnAddress(address),
  });
}
