/**
 * Batch runs and instances: submission, placement, claims, leases and recovery.
 */
import type { EntryContext } from '../entry-context.js';
import type { EntryModule } from '../entry-module.js';
import { createTaskParts } from './task-module.js';

export function createTaskModule(context: EntryContext): EntryModule {
  return createTaskParts(context).module;
}
