/**
 * Creates systems whose work runs outside the tick loop, so a slow call to the worker, the table or an entry
 * does not delay lease renewals and heartbeats. A system is skipped while its previous call is in progress.
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
