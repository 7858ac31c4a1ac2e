/**
 * What it costs to relieve the services by restraining a task.
 */
import type { GuardCandidate } from './guard-types.js';

/** Tasks without any effect come last. */
export function costOfRelief({ lossCost, effect }: GuardCandidate): number {
  return lossCost / Math.max(effect, Number.EPSILON);
}
