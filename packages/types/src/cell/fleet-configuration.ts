/**
 * Operator configuration of a cell: queues and services.
 */
import type { DataCentreName, ServiceName } from '../identifiers.js';
import type { Resources } from '../resources.js';

export interface AdvicePolicy {
  /** Fixed time of one call, without the time for each VM. */
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
  /** VMs of this service refuse tasks that exceed their free capacity. */
  checksAdmission: boolean;
  /** VMs of this service are off until they move to another service. */
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

/** The description of a VM that its runner reports. */
export interface VmAnnouncement {
  instanceId: string;
  /** Wall-clock start of this incarnation of the VM. Orders incarnations with the same id. */
  bornWallMs: number;
  service: ServiceName;
  dataCentre: DataCentreName;
  state: VmState;
  capacity: Resources;
  labels: string[];
  rack: string | null;
  /** Minimum time left to a draining VM. */
  remainingMs: number | null;
}
