/**
 * Interactive requests and standing watches: routing, admission and attempts.
 */
import type { EntryContext } from '../entry-context.js';
import type { EntryModule } from '../entry-module.js';
import { RequestExecutor } from './request-executor.js';
import { createRequestRoute } from './request-route.js';

export function createRequestModule(context: EntryContext): EntryModule {
  const executor = new RequestExecutor(context);
  return { routes: [createRequestRoute(context, executor)] };
}
