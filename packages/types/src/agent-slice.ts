/**
 * The part of the operator configuration that is sent to agents.
 */
import type {
  ConfigurationRevision,
  KindName,
  ServiceName,
  UrgencyClassName,
} from './identifiers.js';
import type { Resources } from './resources.js';

/** The part of the configuration that an agent needs. */
export interface AgentSlice {
  revision: ConfigurationRevision;
  services: AgentServiceSlice[];
  kinds: AgentKindSlice[];
  classes: AgentClassSlice[];
  guards: GuardSettings;
}

export interface AgentServiceSlice {
  service: ServiceName;
  slotsPerInstance: number;
  connectionsPerInstance: number;
  timeoutMs: number;
}

export interface AgentKindSlice {
  kind: KindName;
  urgency: UrgencyClassName;
  declaredSize: Resources;
  /** Cost of losing one second of this kind's work, relative to other kinds. */
  lossWeight: number;
  checkpointable: boolean;
}

export interface AgentClassSlice {
  urgency: UrgencyClassName;
  /** 0 is the most urgent. */
  rank: number;
  /** Guaranteed fraction of slots, 0 to 1. */
  guaranteedShare: number;
}

export interface GuardSettings {
  enabled: boolean;
  actAboveSlowdown: number;
  relaxBelowSlowdown: number;
  measurementsToAct: number;
  relaxAfterMs: number;
  evictionsPerVmInterval: number;
  evictionIntervalMs: number;
  evictionsPerRun: number;
}
