/**
 * Tables of the guard ladder.
 */
import type { Instant } from '@figjunction/time';
import type {
  GuardSettings,
  KindName,
  RejectedAlternative,
  ServiceName,
  TaskId,
} from '@figjunction/types';

/** A batch task that may be restrained in favour of the services on its VM. */
export interface GuardCandidate {
  taskId: TaskId;
  kind: KindName;
  /** How much it slows services down without a throttle, in any unit; only the proportions count. */
  effect: number;
  /** The throttle that the guards set, 0 to 1. */
  throttle: number;
  /** Work that is lost when the task leaves now, weighted by its kind. */
  lossCost: number;
  checkpointable: boolean;
  /** How often the run was evicted before. */
  evictions: number;
}

export interface GuardMeasurement {
  measuredAt: Instant;
  services: { service: ServiceName; slowdown: number }[];
}

export interface GuardInput {
  now: Instant;
  settings: GuardSettings;
  measurement: GuardMeasurement;
  candidates: readonly GuardCandidate[];
  objectStoreAvailable: boolean;
}

/** What the guards of one VM remember between measurements. */
export interface GuardState {
  lastMeasuredAt: Instant;
  /** When the last action had taken effect; earlier measurements do not show it. */
  lastEffectAt: Instant;
  slowMeasurements: number;
  /** Since when every service is below the bound for relaxing; null when one is not. */
  calmSince: Instant | null;
  evictionTimes: Instant[];
  /**
   * What holds for further tasks of a kind, so that each wave of a restrained kind need not be restrained
   * anew after the lag of the measurements.
   */
  kindRestraints: Map<KindName, KindRestraint>;
}

export interface KindRestraint {
  /** New tasks of the kind start with this throttle. */
  throttle: number;
  /**
   * No more tasks of the kind than ran when it was throttled: throttled tasks stay for long, and the
   * services would be slow again although every task is at the lowest throttle.
   */
  tasksMaximum: number;
}

export enum GuardActionKind {
  Throttle = 'throttle',
  /** Checkpoint the run and give it back, so that it goes on elsewhere. */
  Move = 'move',
  /** Give the run back without a checkpoint. */
  Stop = 'stop',
  Relax = 'relax',
}

export interface GuardAction {
  kind: GuardActionKind;
  taskId: TaskId;
  /** The new throttle; 1 where the action is no throttle. */
  throttle: number;
}

export interface GuardDecision {
  actions: GuardAction[];
  worst: { service: ServiceName; slowdown: number } | null;
  rejected: RejectedAlternative[];
}

export function createGuardState(): GuardState {
  return {
    lastMeasuredAt: Number.NEGATIVE_INFINITY,
    lastEffectAt: Number.NEGATIVE_INFINITY,
    slowMeasurements: 0,
    calmSince: null,
    evictionTimes: [],
    kindRestraints: new Map(),
  };
}
