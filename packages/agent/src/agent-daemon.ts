/**
 * The agent daemon: joins its parts into one HTTP server and one loop, and stops gracefully.
 */
import { HttpServer, sendJson } from '@figjunction/http';
import type { Route } from '@figjunction/http';
import { createRpcRoute } from '@figjunction/rpc';
import type { RpcHandlers } from '@figjunction/rpc';
import { TickLoop, sleep } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import type { AgentContext } from './agent-context.js';
import type { AgentModule } from './agent-module.js';
import { createAttemptModule } from './attempts/index.js';
import { createGuardModule } from './guards/index.js';
import { createHeartbeatModule } from './heartbeat/index.js';
import { createTaskModule } from './tasks/index.js';

export interface RunningAgent {
  address: string;
  /** Graceful; a second call waits for the first. */
  stop(): Promise<void>;
}

export async function startAgent(context: AgentContext): Promise<RunningAgent> {
  const modules = [
    createHeartbeatModule(context),
    createTaskModule(context),
    createGuardModule(context),
    createAttemptModule(context),
  ];
  const server = createServer(context, modules);
  context.address = await server.listen();
  for (const module of modules) {
    await module.start?.();
  }
  const loop = new TickLoop({
    clock: context.clock,
    systems: modules.flatMap((module) => module.systems ?? []),
    onError: (system, error) => {
      context.metrics.count('system_errors_total', { system });
      context.logger.debug({ system, error: error.message }, 'system failed');
    },
  });
  context.pauses.start();
  loop.start();
  let stopping: Promise<void> | null = null;
  return {
    address: context.address,
    stop(): Promise<void> {
      stopping ??= stopAgent(context, modules, server, loop);
      return stopping;
    },
  };
}

function createServer(context: AgentContext, modules: AgentModule[]): HttpServer {
  const { host, port, sharedToken } = context.settings;
  const handlers: RpcHandlers = Object.assign(
    { [RpcMethod.ExplainGet]: explainHandler(context) },
    ...modules.map((module) => module.rpcHandlers),
  );
  return new HttpServer({
    host,
    port,
    routes: [
      ...modules.flatMap((module) => module.routes ?? []),
      createRpcRoute({ sharedToken, handlers }),
      ...statusRoutes(context),
    ],
    onError: (error) => {
      context.metrics.count('internal_errors_total');
      context.logger.error({ error: error.message, stack: error.stack }, 'internal error');
    },
  });
}

function explainHandler(context: AgentContext): NonNullable<RpcHandlers[RpcMethod.ExplainGet]> {
  return ({ subject, subjectId }) => ({ records: context.decisions.find(subject, subjectId) });
}

function statusRoutes(context: AgentContext): Route[] {
  return [
    {
      method: 'GET',
      pattern: /^\/metrics$/u,
      async handle({ response }): Promise<void> {
        response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
        response.end(await context.metrics.render());
      },
    },
    {
      method: 'GET',
      pattern: /^\/healthz$/u,
      async handle({ response }): Promise<void> {
        sendJson(response, 200, { state: context.state, waitingFor: [...context.waitingFor] });
      },
    },
  ];
}

async function stopAgent(
  context: AgentContext,
  modules: AgentModule[],
  server: HttpServer,
  loop: TickLoop,
): Promise<void> {
  context.logger.info('stopping');
  await Promise.race([stopModules(modules), sleep(context.settings.stopTimeoutMs)]);
  await loop.stop();
  await Promise.race([server.close(), sleep(context.settings.stopTimeoutMs)]);
  server.closeNow();
  context.rpc.close();
  context.logger.info('stopped');
}

async function stopModules(modules: AgentModule[]): Promise<void> {
  for (const module of modules) {
    await module.stop?.();
  }
}
