/**
 * Attempts of requests and watches against the target instances of this VM.
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
import { notRun } from './target-call.js';
import { WatchService } from './watch-service.js';

const SWEEP_INTERVAL_MS = 1_000;
const WATCH_INTERVAL_MS = 100;
const DRAIN_POLL_MS = 20;

/**
 * A leaving agent goes on answering for this long, so that entries which have not heard of it yet get
 * "not run" instead of a broken connection. Heartbeats reach them within a second.
 */
const LEAVING_LINGER_MS = 1_500;

export function createAttemptModule(context: AgentContext): DaemonModule {
  const service = new AttemptService(context);
  const watches = new WatchService(context, service.slots);
  return {
    routes: [watches.route()],
    rpcHandlers: {
      [RpcMethod.AttemptRun]: async (parameters, { headers }) => {
        const refusal = refusalOf(context, headers);
        const result = refusal ?? (await service.run(parameters, headers));
        return { ...result, attempt: parameters.attempt };
      },
      [RpcMethod.AttemptInquire]: (parameters, { headers }) => {
        requireAgent(context, headers);
        return service.inquire(parameters);
      },
      [RpcMethod.AttemptCancel]: (parameters, { headers }) => {
        requireAgent(context, headers);
        return service.cancel(parameters);
      },
    },
    systems: [
      {
        name: 'attempt-sweep',
        intervalMs: SWEEP_INTERVAL_MS,
        run(): void {
          service.noteIncarnation();
          service.attempts.sweep();
        },
      },
      { name: 'watch-drain', intervalMs: WATCH_INTERVAL_MS, run: () => watches.endDrained() },
    ],
    stop: () => drain(context, service, watches),
  };
}

/** Why the call is not looked at: it was meant for another agent. */
function refusalOf(context: AgentContext, headers: CallHeaders): AttemptResult | null {
  return isMeant(context, headers)
    ? null
    : notRun(OutcomeCode.WrongIncarnation, 'the address belongs to another agent');
}

async function drain(
  context: AgentContext,
  service: AttemptService,
  watches: WatchService,
): Promise<void> {
  context.state = AgentState.Leaving;
  context.heartbeatDue = true;
  watches.endDrained();
  await sleep(LEAVING_LINGER_MS);
  while (service.attempts.runningCount() > 0 || watches.count > 0) {
    await sleep(DRAIN_POLL_MS);
  }
  service.close();
  watches.close();
}

/** An address may have passed to another agent, whose incarnations say nothing about this one's. */
function isMeant(context: AgentContext, headers: CallHeaders): boolean {
  const meant = headers[AGENT_ID_HEADER];
  return meant === undefined || meant === context.settings.agentId;
}

function requireAgent(context: AgentContext, headers: CallHeaders): void {
  if (!isMeant(context, headers)) {
    throw new AgentError(`this is agent ${context.settings.agentId}`, { code: ErrorCode.NotFound });
  }
}
