/**
 * Orders the batch tasks of a VM by what it costs to reduce their effect on the services.
 */
import type { GuardCandidate } from './guard-types.js';

/** Cost of losing a task per unit of its effect. A task without effect gets a huge cost and sorts last. */
export function calculateCostPerEffect({ lossCost, effect }: GuardCandidate): number {
  return lossCost / Math.max(effect, Number.EPSILON);
}

/** Groups tasks by kind. The kind with the cheapest task comes first. */
export function groupByKindCheapestFirst(
  candidates: readonly GuardCandidate[],
): GuardCandidate[][] {
  const sorted = [...candidates].sort(
    (left, right) => calculateCostPerEffect(left) - calculateCostPerEffect(right),
  );
  const kinds = new Map<string, GuardCandidate[]>();
  for (const task of sorted) {
    kinds.set(task.kind, [...(kinds.get(task.kind) ?? []), task]);
  }
  return [...kinds.values()];
}
