/**
 * Chooses the task to evict when throttling is exhausted, within the eviction limits per VM and per run.
 */
import type { RejectedAlternative } from '@figjunction/types';
import { calculateCostPerEffect } from './guard-cost.js';
import { GuardActionKind } from './guard-types.js';
import type { GuardAction, GuardCandidate, GuardInput, GuardState } from './guard-types.js';

export interface EvictionChoice {
  action: GuardAction | null;
  rejected: RejectedAlternative[];
}

/** Moves checkpointable tasks before it stops others, because a stop loses the work of the task. */
export function chooseEviction(state: GuardState, input: GuardInput): EvictionChoice {
  const vmRefusal = findVmRefusal(state, input);
  if (vmRefusal !== null) {
    return { action: null, rejected: [{ option: 'evict a task', reason: vmRefusal }] };
  }
  const ordered = [...input.candidates].sort(
    (left, right) =>
      Number(right.checkpointable) - Number(left.checkpointable) ||
      calculateCostPerEffect(left) - calculateCostPerEffect(right),
  );
  const rejected: RejectedAlternative[] = [];
  for (const task of ordered) {
    const reason = findTaskRefusal(task, input);
    if (reason === null) {
      const kind = task.checkpointable ? GuardActionKind.Move : GuardActionKind.Stop;
      return { action: { kind, taskId: task.taskId, throttle: 1 }, rejected };
    }
    rejected.push({ option: `evict ${task.taskId}`, reason });
  }
  return { action: null, rejected };
}

/** Why the VM may evict nothing now, or null. Drops evictions that are older than the interval. */
function findVmRefusal(state: GuardState, { now, settings }: GuardInput): string | null {
  const { evictionsPerVmInterval, evictionIntervalMs } = settings;
  state.evictionTimes = state.evictionTimes.filter((at) => now - at < evictionIntervalMs);
  return state.evictionTimes.length < evictionsPerVmInterval
    ? null
    : `eviction limit reached: ${state.evictionTimes.length} on this VM within ${evictionIntervalMs} ms`;
}

/** Why the task may not be evicted, or null. */
function findTaskRefusal(task: GuardCandidate, input: GuardInput): string | null {
  if (task.evictions >= input.settings.evictionsPerRun) {
    return `the run has already been evicted ${task.evictions} times`;
  }
  if (task.checkpointable && !input.objectStoreAvailable) {
    return 'the object store is unavailable, so no checkpoint can be saved';
  }
  return null;
}
