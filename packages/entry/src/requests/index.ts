/**
 * Interactive requests and standing watches: routing, admission and attempts.
 */
import type { DaemonModule } from '@figjunction/runtime';
import type { EntryContext } from '../entry-context.js';
import { createRequestRoute } from './request-route.js';
import { RequestService } from './request-service.js';
import { Watches } from './watch-route.js';

const EJECTION_INTERVAL_MS = 250;
const CLAIM_INTERVAL_MS = 100;

export function createRequestModule(context: EntryContext): DaemonModule {
  const service = new RequestService(context);
  const watches = new Watches(context, service.runner);
  return {
    routes: [createRequestRoute(context, service), watches.route()],
    systems: [
      {
        name: 'outlier-ejection',
        intervalMs: EJECTION_INTERVAL_MS,
        run: () => service.runner.selector.ejectOutliers(),
      },
      { name: 'claim-ends', intervalMs: CLAIM_INTERVAL_MS, run: (now) => service.flush(now) },
    ],
    async stop(): Promise<void> {
      watches.stop();
      await service.stop();
    },
  };
}
