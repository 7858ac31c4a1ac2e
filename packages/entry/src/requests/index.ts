/**
 * Module for interactive requests and long-lived watches: routing, admission and attempts.
 */
import type { DaemonModule } from '@figjunction/runtime';
import type { EntryContext } from '../entry-context.js';
import { createRequestRoute } from './request-route.js';
import { RequestService } from './request-service.js';
import { WatchHandler } from './watch-route.js';

const EJECTION_INTERVAL_MS = 250;
const CLAIM_FLUSH_INTERVAL_MS = 100;

export function createRequestModule(context: EntryContext): DaemonModule {
  const service = new RequestService(context);
  const watchHandler = new WatchHandler(context, service.runner);
  return {
    routes: [createRequestRoute(context, service), watchHandler.createRoute()],
    systems: [
      {
        name: 'outlier-ejection',
        intervalMs: EJECTION_INTERVAL_MS,
        run: () => service.runner.selector.ejectOutliers(),
      },
      { name: 'claim-ends', intervalMs: CLAIM_FLUSH_INTERVAL_MS, run: (now) => service.flush(now) },
    ],
    async stop(): Promise<void> {
      watchHandler.stop();
      await service.stop();
    },
  };
}
