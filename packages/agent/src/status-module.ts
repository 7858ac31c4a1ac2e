/**
 * Routes and methods that expose the metrics, health and latest decisions of an agent.
 */
import { sendJson } from '@figjunction/http';
import type { DaemonModule } from '@figjunction/runtime';
import { RpcMethod } from '@figjunction/types';
import type { AgentContext } from './agent-context.js';

export function createStatusModule(context: AgentContext): DaemonModule {
  return {
    rpcHandlers: {
      [RpcMethod.ExplainGet]: ({ subject, subjectId }) => ({
        records: context.decisions.find(subject, subjectId),
      }),
    },
    routes: [
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
    ],
  };
}
