/**
 * Operators: applying configuration, status, explanations and metrics.
 */
import { HttpClient } from '@figjunction/http';
import { RpcMethod } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import type { EntryModule } from '../entry-module.js';
import { createConfigurationRoutes } from './configuration-routes.js';
import { createDrainRoutes } from './drain.js';
import { createExplainRoute } from './explain.js';
import { createObservabilityRoutes } from './observability.js';
import { createProposalRoute } from './proposals.js';
import { createStatusRoutes } from './status.js';

export function createOperatorModule(context: EntryContext): EntryModule {
  const http = new HttpClient();
  let stopping = false;
  return {
    routes: [
      ...createConfigurationRoutes(context),
      ...createStatusRoutes(context, http),
      createExplainRoute(context),
      createProposalRoute(context),
      ...createDrainRoutes(context),
      ...createObservabilityRoutes(context, () => stopping),
    ],
    rpcHandlers: {
      [RpcMethod.ExplainGet]: ({ subject, subjectId }) => ({
        records: context.decisions.find(subject, subjectId),
      }),
    },
    async stop(): Promise<void> {
      stopping = true;
    },
  };
}
