/**
 * Operators: applying configuration, status, explanations and metrics.
 */
import { HttpClient } from '@figjunction/http';
import { RpcMethod } from '@figjunction/types';
import type { DaemonModule } from '@figjunction/runtime';
import type { EntryContext } from '../entry-context.js';
import { AbsenceLog } from './absent-process-tracker.js';
import { createConfigurationRoutes } from './configuration-routes.js';
import { createDrainRoutes } from './drain.js';
import { createExplainRoute } from './explain.js';
import { createObservabilityRoutes } from './observability.js';
import { createProposalRoute } from './proposals.js';
import { createStatusRoutes } from './status.js';

const ABSENCE_INTERVAL_MS = 1_000;

export function createOperatorModule(context: EntryContext): DaemonModule {
  const http = new HttpClient();
  const absences = new AbsenceLog(context);
  let stopping = false;
  return {
    routes: [
      ...createConfigurationRoutes(context),
      ...createStatusRoutes({ context, http, absences }),
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
        intervalMs: ABSENCE_INTERVAL_MS,
        run: (now) => absences.note(now),
      },
    ],
    async stop(): Promise<void> {
      stopping = true;
    },
  };
}
