/**
 * Starts the agent daemon with its modules.
 */
import { startDaemon } from '@figjunction/runtime';
import type { RunningDaemon } from '@figjunction/runtime';
import type { AgentContext } from './agent-context.js';
import { createAttemptModule } from './attempts/index.js';
import { createGuardModule } from './guards/index.js';
import { createHeartbeatModule } from './heartbeat/index.js';
import { createStatusModule } from './status-module.js';
import { createTaskModule } from './tasks/index.js';

export function startAgent(context: AgentContext): Promise<RunningDaemon> {
  return startDaemon({
    context,
    modules: [
      createHeartbeatModule(context),
      createTaskModule(context),
      createGuardModule(context),
      createAttemptModule(context),
      createStatusModule(context),
    ],
    onListening: (address) => {
      context.address = address;
      context.pauseDetector.start();
    },
    answersWhileStopping: true,
  });
}
