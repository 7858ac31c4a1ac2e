/**
 * The upper rungs of the guard ladder: which task leaves the VM, within the ration of the VM and the run.
 */
import type { RejectedAlternative } from '@figjunction/types';
import { costOfRelief } from './guard-cost.js';
import { GuardActionKind } from './guard-types.js';
import type { GuardAction, GuardCandidate, GuardInput, GuardState } from './guard-types.js';

export interface EvictionChoice {
  action: GuardAction | null;
  rejected: RejectedAlternative[];
}

/** Checkpointed work is moved before any work is lost by a stop. */
export function chooseEviction(state: GuardState, input: GuardInput): EvictionChoice {
  const rationed = rationRefusal(state, input);
  if (rationed !== null) {
    return { action: null, rejected: [{ option: 'evict a task', reason: rationed }] };
  }
  const ordered = [...input.candidates].sort(
    (left, right) =>
      Number(right.checkpointable) - Number(left.checkpointable) ||
      costOfRelief(left) - costOfRelief(right),
  );
  const rejected: RejectedAlternative[] = [];
  for (const task of ordered) {
    const reason = taskRefusal(task, input);
    if (reason === null) {
      const kind = task.checkpointable ? GuardActionKind.Move : GuardActionKind.Stop;
      return { action: { kind, taskId: task.taskId, throttle: 1 }, rejected };
    }
    rejected.push({ option: `evict ${task.taskId}`, reason });
  }
  return { action: null, rejected };
}

/** Why the VM may evict nothing now. Forgets evictions that are older than the interval. */
function rationRefusal(state: GuardState, { now, settings }: GuardInput): string | null {
  const { evictionsPerVmInterval, evictionIntervalMs } = settings;
  state.evictionTimes = state.evictionTimes.filter((at) => now - at < evictionIntervalMs);
  return state.evictionTimes.length < evictionsPerVmInterval
    ? null
    : `${state.evictionTimes.length} evictions on this VM in ${evictionIntervalMs} ms`;
}

function taskRefusal(task: GuardCandidate, input: GuardInput): string | null {
  if (task.evictions >= input.settings.evictionsPerRun) {
    return `the run was evicted ${task.evictions} times`;
  }
  if (task.checkpointable && !input.objectStoreAvailable) {
    return 'no checkpoint can be saved while the object store is down';
  }
  return null;
}
