/**
 * All commands, in the order of the help page.
 */
import type { CommandModule } from 'yargs';
import { toError } from '@figjunction/errors';
import { ClientError } from '../client-error.js';
import type { ClientContext, CommonFlags } from '../client-context.js';
import { createApplyCommand } from './apply.js';
import { createCancelCommand } from './cancel.js';
import { createDrainCommand } from './drain.js';
import { createExplainCommand } from './explain.js';
import { createHistoryCommand } from './history.js';
import { createPlanCommand } from './plan.js';
import { createProposalsCommand } from './proposals.js';
import { createRunsCommand } from './runs.js';
import { createStatusCommand } from './status.js';
import { createSubmitCommand } from './submit.js';
import { createValidateCommand } from './validate.js';

export function createCommands(context: ClientContext): CommandModule<CommonFlags, CommonFlags>[] {
  const commands = [
    createValidateCommand(context),
    createPlanCommand(context),
    createApplyCommand(context),
    createStatusCommand(context),
    createRunsCommand(context),
    createExplainCommand(context),
    createProposalsCommand(context),
    createSubmitCommand(context),
    createCancelCommand(context),
    createDrainCommand(context),
    createHistoryCommand(context),
  ] as CommandModule<CommonFlags, CommonFlags>[];
  return commands.map((command) => ({
    ...command,
    handler: (flags) => reportFaults(() => command.handler(flags)),
  }));
}

/** Turns errors that no command expects into a `ClientError`. */
async function reportFaults(run: () => void | Promise<void>): Promise<void> {
  try {
    await run();
  } catch (thrown) {
    const error = toError(thrown);
    if (error instanceof ClientError) {
      throw error;
    }
    throw new ClientError(error.message, { cause: error, nextStep: 'please report this' });
  }
}
