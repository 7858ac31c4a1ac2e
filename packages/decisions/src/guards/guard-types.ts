/**
 * Input, state and actions of the guards, which protect services from batch tasks on the same VM.
 */
import type { Instant } from '@figjunction/time';
import type {
  GuardSettings,
  KindName,
  RejectedAlternative,
  ServiceName,
  TaskId,
} from '@figjunction/types';

/** A batch task that the guards may throttle or evict to protect the services on its VM. */
export interface GuardCandidate {
  taskId: TaskId;
  kind: KindName;
  /** How much it slows services down when not throttled, in any unit; only the ratios matter. */
  effect: number;
  /** The throttle set by the guards: 0 to 1, where 1 is unthrottled. */
  throttle: number;
  /** Work that is lost when the task is evicted now, weighted by its kind. */
  lossCost: number;
  checkpointable: boolean;
  /** How often the run has been evicted. */
  evictions: number;
}

/** Slowdown of the services on a VM; 1 means none. */
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

/** State of the guards of one VM between measurements. */
export interface GuardState {
  lastMeasuredAt: Instant;
  /** When the last action took effect; earlier measurements do not show it. */
  lastActionEffectiveAt: Instant;
  consecutiveSlowMeasurements: number;
  /**
   * Start of the stable period, in which all services are below the bound for relaxing. Each relaxing step
   * starts a new one; null while a service is not below the bound.
   */
  stableSince: Instant | null;
  evictionTimes: Instant[];
  /**
   * Limits for new tasks of a kind. Without them, each wave of new tasks would slow the services down until
   * the lagging measurements show it.
   */
  kindLimits: Map<KindName, KindLimits>;
}

/** Limits for new tasks of a throttled kind. */
export interface KindLimits {
  /** New tasks of the kind start with this throttle. */
  throttle: number;
  /**
   * Maximum number of tasks of the kind: as many as ran when it was throttled. Throttled tasks run for long,
   * so more of them would slow the services down again even with every task at the minimum throttle.
   */
  tasksMaximum: number;
}

export enum GuardActionKind {
  Throttle = 'throttle',
  /** Checkpoint the run and return it, so that it resumes on another VM. */
  Move = 'move',
  /** Return the run without a checkpoint. */
  Stop = 'stop',
  /** Raise the throttle of the task. */
  Relax = 'relax',
}

export interface GuardAction {
  kind: GuardActionKind;
  taskId: TaskId;
  /** The new throttle, 0 to 1; always 1 for `Move` and `Stop`. */
  throttle: number;
}

export interface GuardDecision {
  actions: GuardAction[];
  /** The service with the highest slowdown; null if none was measured. */
  worst: { service: ServiceName; slowdown: number } | null;
  /** Alternatives that were considered, with the reason against each. */
  rejected: RejectedAlternative[];
}

export function createGuardState(): GuardState {
  return {
    lastMeasuredAt: Number.NEGATIVE_INFINITY,
    lastActionEffectiveAt: Number.NEGATIVE_INFINITY,
    consecutiveSlowMeasurements: 0,
    stableSince: null,
    evictionTimes: [],
    kindLimits: new Map(),
  };
}
