/**
 * What operators configure for a cell: queues and services.
 */
import type { DataCentreName, ServiceName } from '../identifiers.js';
import type { Resources } from '../resources.js';

export interface AdvicePolicy {
  /** Time that one call takes, besides the time for each VM. */
  decideMs: number;
  eachVmMs: number;
  validMs: number;
}

export interface QueuePolicy {
  name: string;
  /** Requests to this host whose path starts with the prefix belong to the queue. */
  host: string;
  pathPrefix: string;
  service: ServiceName;
  /** 0 is the most urgent. */
  priority: number;
  attemptsMaximum: number;
  /** The objective is this factor times the critical path plus `objectiveMs`. */
  slackFactor: number;
  objectiveMs: number;
  advice: AdvicePolicy | null;
}

export interface ServicePolicy {
  name: ServiceName;
  /** VMs of this service refuse tasks that do not fit. */
  checksAdmission: boolean;
  /** VMs of this pool are off until they are moved to another one. */
  standby: boolean;
}

export interface FleetConfiguration {
  revision: number;
  queues: QueuePolicy[];
  services: ServicePolicy[];
}

export enum VmState {
  Ready = 'ready',
  Draining = 'draining',
}

/** What a VM says about itself. */
export interface VmAnnouncement {
  instanceId: string;
  /** Start of this life of the VM, on the wall clock. Orders lives with the same id. */
  bornWallMs: number;
  service: ServiceName;
  dataCentre: DataCentreName;
  state: VmState;
  capacity: Resources;
  labels: string[];
  rack: string | null;
  /** Least time left to a draining VM. */
  remainingMs: number | null;
}
