/**
 * What it costs to relieve the services by restraining a task.
 */
import type { GuardCandidate } from './guard-types.js';

/** Tasks without any effect come last. */
export function costOfRelief({ lossCost, effect }: GuardCandidate): number {
  return lossCost / Math.max(effect, Number.EPSILON);
}

/** Tasks by kind; the kind whose cheapest task costs least comes first. */
export function kindsCheapestFirst(candidates: readonly GuardCandidate[]): GuardCandidate[][] {
  const sorted = [...candidates].sort((left, right) => costOfRelief(left) - costOfRelief(right));
  const kinds = new Map<string, GuardCandidate[]>();
  for (const task of sorted) {
    kinds.set(task.kind, [...(kinds.get(task.kind) ?? []), task]);
  }
  return [...kinds.values()];
}
