/**
 * The metrics endpoint and the health check for load balancers.
 */
import { sendJson } from '@figjunction/http';
import type { Route } from '@figjunction/http';
import { authenticateOperator } from '../authentication.js';
import type { EntryContext } from '../entry-context.js';

const STATUS_NOT_SERVING = 503;

export function createObservabilityRoutes(
  context: EntryContext,
  isStopping: () => boolean,
): Route[] {
  return [
    {
      method: 'GET',
      pattern: /^\/metrics$/u,
      async handle({ request, response }): Promise<void> {
        authenticateOperator(context, request);
        setGauges(context);
        response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
        response.end(await context.metrics.render());
      },
    },
    {
      method: 'GET',
      pattern: /^\/healthz$/u,
      async handle({ response }): Promise<void> {
        const waitingFor = [...context.waitingFor];
        const serving = waitingFor.length === 0 && !isStopping();
        sendJson(response, serving ? 200 : STATUS_NOT_SERVING, { serving, waitingFor });
      },
    },
  ];
}

function setGauges(context: EntryContext): void {
  const { configuration, metrics, agents, peers, clock } = context;
  metrics.setGauge('configuration_revision', configuration.revision());
  metrics.setGauge('configuration_confirmed', Number(configuration.isConfirmed(clock.now())));
  metrics.setGauge('agents_known', agents.all().length);
  metrics.setGauge('entries_known', peers.live().length);
  metrics.setGauge('resident_bytes', process.memoryUsage.rss());
}
