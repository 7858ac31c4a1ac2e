/**
 * The HTTP API for operators: configuration, status, explanations, draining and metrics.
 */
import { HttpClient } from '@figjunction/http';
import { RpcMethod } from '@figjunction/types';
import type { DaemonModule } from '@figjunction/runtime';
import type { EntryContext } from '../entry-context.js';
import { AbsentProcessTracker } from './absent-process-tracker.js';
import { createConfigurationRoutes } from './configuration-routes.js';
import { createDrainRoutes } from './drain.js';
import { createExplainRoute } from './explain.js';
import { createObservabilityRoutes } from './observability.js';
import { createProposalRoute } from './proposals.js';
import { createStatusRoutes } from './status.js';

const ABSENCE_UPDATE_INTERVAL_MS = 1_000;

export function createOperatorModule(context: EntryContext): DaemonModule {
  const http = new HttpClient();
  const absentProcesses = new AbsentProcessTracker(context);
  let stopping = false;
  return {
    routes: [
      ...createConfigurationRoutes(context),
      ...createStatusRoutes({ context, http, absentProcesses }),
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
    systems: [
      {
        name: 'note absences',
        intervalMs: ABSENCE_UPDATE_INTERVAL_MS,
        run: (now) => absentProcesses.update(now),
      },
    ],
    async stop(): Promise<void> {
      stopping = true;
    },
  };
}
