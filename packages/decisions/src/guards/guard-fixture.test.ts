import type { GuardSettings } from '@figjunction/types';
import type { GuardCandidate, GuardInput } from './guard-types.js';

export const SETTINGS: GuardSettings = {
  enabled: true,
  actAboveSlowdown: 1.3,
  relaxBelowSlowdown: 1.25,
  measurementsToAct: 2,
  relaxAfterMs: 30_000,
  evictionsPerVmInterval: 1,
  evictionIntervalMs: 30_000,
  evictionsPerRun: 3,
};

export function candidate(taskId: string, overrides: Partial<GuardCandidate> = {}): GuardCandidate {
  return {
    taskId,
    kind: 'reprint',
    effect: 4_000,
    throttle: 1,
    lossCost: 1,
    checkpointable: true,
    evictions: 0,
    ...overrides,
  };
}

export function createInput(
  at: number,
  slowdown: number,
  overrides: Partial<GuardInput> = {},
): GuardInput {
  return {
    now: at,
    settings: SETTINGS,
    measurement: { measuredAt: at, services: [{ service: 'labels', slowdown }] },
    candidates: [candidate('a')],
    objectStoreAvailable: true,
    ...overrides,
  };
}
