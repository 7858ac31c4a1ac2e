/**
 * Runs a system in the background, so that a slow call to worker, table or entry never holds up the tick
 * loop: lease renewals and heartbeats have to go on. A run that is still under way is not started again.
 */
import { toError } from '@figjunction/errors';
import type { TickSystem } from '@figjunction/time';
import type { AgentContext } from '../agent-context.js';

export function createBackgroundSystem(
  context: AgentContext,
  name: string,
  intervalMs: number,
  work: () => Promise<void>,
): TickSystem {
  let isRunning = false;
  return {
    name,
    intervalMs,
    run(): void {
      if (isRunning) {
        return;
      }
      isRunning = true;
      work()
        .catch((error: unknown) => {
          context.metrics.count('system_errors_total', { system: name });
          context.logger.debug({ system: name, error: toError(error).message }, 'system failed');
        })
        .finally(() => {
          isRunning = false;
        });
    },
  };
}
