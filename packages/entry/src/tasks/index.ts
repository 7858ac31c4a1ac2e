/**
 * Batch runs and instances: submission, placement, claims, leases and recovery.
 */
import type { DaemonModule } from '@figjunction/runtime';
import type { EntryContext } from '../entry-context.js';
import { createTaskParts } from './task-module.js';

export function createTaskModule(context: EntryContext): DaemonModule {
  return createTaskParts(context).module;
}
