/**
 * Builds an agent from its settings and runs it until it is told to stop.
 */
import { createAgentContext, startAgent } from '@figjunction/agent';
import { loadAgentSettings } from '@figjunction/config';
import { createLogger } from '@figjunction/logger';
import { HttpTableService } from '@figjunction/store';
import { HttpWorker } from '@figjunction/worker';
import { runProcess, sourcesOf } from './run-process.js';
import type { Flags } from './run-process.js';

export async function runAgent(flags: Flags): Promise<void> {
  const settings = loadAgentSettings(sourcesOf(flags));
  const logger = createLogger({ name: settings.agentId, level: settings.logLevel });
  await runProcess({
    logger,
    tracesEndpoint: settings.tracesEndpoint,
    start: () =>
      startAgent(
        createAgentContext({
          settings,
          logger,
          table: new HttpTableService({ address: settings.platformAddress }),
          worker: new HttpWorker({ address: settings.workerAddress }),
        }),
      ),
  });
}
