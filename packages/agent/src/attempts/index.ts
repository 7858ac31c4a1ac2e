/**
 * The module that runs request attempts and watches against the target instances of this VM.
 */
import { ErrorCode } from '@figjunction/errors';
import { sleep } from '@figjunction/time';
import { AGENT_ID_HEADER, AgentState, OutcomeCode, RpcMethod } from '@figjunction/types';
import type { AttemptResult } from '@figjunction/types';
import type { DaemonModule } from '@figjunction/runtime';
import type { AgentContext } from '../agent-context.js';
import { AgentError } from '../agent-error.js';
import { AttemptService } from './attempt-service.js';
import type { CallHeaders } from './attempt-service.js';
import { createNotRunResult } from './target-call.js';
import { WatchService } from './watch-service.js';

const SWEEP_INTERVAL_MS = 1_000;
const WATCH_INTERVAL_MS = 100;
const DRAIN_POLL_MS = 20;

/**
 * At a stop, the agent keeps responding for this long, so that entries that do not know yet that it leaves
 * get "not run" instead of a lost connection. Heartbeats reach them within a second.
 */
const STOP_DELAY_MS = 1_500;

export function createAttemptModule(context: AgentContext): DaemonModule {
  const service = new AttemptService(context);
  const watchService = new WatchService(context, service.slots);
  return {
    routes: [watchService.route()],
    rpcHandlers: {
      [RpcMethod.AttemptRun]: async (parameters, { headers }) => {
        const refusal = rejectMisdirectedCall(context, headers);
        const result = refusal ?? (await service.run(parameters, headers));
        return { ...result, attempt: parameters.attempt };
      },
      [RpcMethod.AttemptInquire]: (parameters, { headers }) => {
        requireAddressedToThisAgent(context, headers);
        return service.inquire(parameters);
      },
      [RpcMethod.AttemptCancel]: (parameters, { headers }) => {
        requireAddressedToThisAgent(context, headers);
        return service.cancel(parameters);
      },
    },
    systems: [
      {
        name: 'attempt-sweep',
        intervalMs: SWEEP_INTERVAL_MS,
        run(): void {
          service.recordIncarnation();
          service.attempts.sweep();
        },
      },
      {
        name: 'watch-drain',
        intervalMs: WATCH_INTERVAL_MS,
        run: () => watchService.closeDrained(),
      },
    ],
    stop: () => drain(context, service, watchService),
  };
}

/** The result for a call that was addressed to another agent; null when it was addressed to this one. */
function rejectMisdirectedCall(context: AgentContext, headers: CallHeaders): AttemptResult | null {
  return isAddressedToThisAgent(context, headers)
    ? null
    : createNotRunResult(OutcomeCode.WrongIncarnation, 'the address belongs to another agent');
}

/** Ends the streams, then waits until the running attempts have ended. */
async function drain(
  context: AgentContext,
  service: AttemptService,
  watches: WatchService,
): Promise<void> {
  context.state = AgentState.Leaving;
  context.isHeartbeatDue = true;
  watches.closeDrained();
  await sleep(STOP_DELAY_MS);
  while (service.attempts.runningCount() > 0 || watches.count > 0) {
    await sleep(DRAIN_POLL_MS);
  }
  service.close();
  watches.close();
}

/** The address may have belonged to another agent before; incarnations of two agents cannot be compared. */
function isAddressedToThisAgent(context: AgentContext, headers: CallHeaders): boolean {
  const addressedAgentId = headers[AGENT_ID_HEADER];
  return addressedAgentId === undefined || addressedAgentId === context.settings.agentId;
}

function requireAddressedToThisAgent(context: AgentContext, headers: CallHeaders): void {
  if (!isAddressedToThisAgent(context, headers)) {
    throw new AgentError(`this is agent ${context.settings.agentId}`, { code: ErrorCode.NotFound });
  }
}
