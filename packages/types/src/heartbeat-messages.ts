/**
 * The heartbeat of an agent. A small part is sent every time; the rest is split into sections, of which
 * only those that changed since a heartbeat that the entry acknowledged are sent.
 */
import type { AgentState } from './enums.js';
import type {
  AgentId,
  AgentIncarnation,
  ConfigurationRevision,
  EntryId,
  Location,
  ServiceName,
  TaskId,
} from './identifiers.js';
import type { Resources } from './resources.js';
import type { TaskUsage } from './worker-messages.js';

/** State of one service instance on the VM of an agent. */
export interface InstanceReport {
  taskId: TaskId;
  service: ServiceName;
  attempt: number;
  slots: number;
  slotsUsed: number;
  connections: number;
  connectionsUsed: number;
  ready: boolean;
}

export interface HeldTask {
  taskId: TaskId;
  attempt: number;
}

/** The part that every heartbeat carries. */
export interface HeartbeatCore {
  agentId: AgentId;
  incarnation: AgentIncarnation;
  /** Increases with every heartbeat of the incarnation; an older one that arrives late is dropped. */
  sequence: number;
  state: AgentState;
  revision: ConfigurationRevision;
  /** True when the revision was confirmed within the bound. */
  confirmed: boolean;
}

/** Address and location of the agent, and capacity of its VM. */
export interface AgentPlace {
  address: string;
  location: Location;
  capacity: Resources;
}

/** Free capacity of the agent. */
export interface AgentRoom {
  free: Resources;
  /** True when the agent has free capacity and requests work; used by pull placement. */
  wantsWork: boolean;
}

export interface HeartbeatSections {
  place: AgentPlace;
  room: AgentRoom;
  tasks: HeldTask[];
  instances: InstanceReport[];
  usage: TaskUsage[];
}

export type HeartbeatSection = keyof HeartbeatSections;

/** The whole state of an agent, as an entry holds it. */
export interface AgentReport extends HeartbeatCore, AgentPlace, AgentRoom {
  tasks: HeldTask[];
  instances: InstanceReport[];
  usage: TaskUsage[];
}

/** Value of `base` in a full heartbeat, which carries every section. */
export const NO_BASE = 0;

export interface HeartbeatParameters extends HeartbeatCore {
  /**
   * A sequence of this incarnation that the entry acknowledged. Sections that are left out did not change
   * after it, so an entry that holds this or a later state gets exactly the state of `sequence`.
   */
  base: number;
  sections: Partial<HeartbeatSections>;
  /** Version of the list of entries that the agent received from this entry; empty without a list. */
  entriesVersion: string;
}

export interface KnownEntry {
  entryId: EntryId;
  address: string;
  location: Location;
}

/** What an entry did with a heartbeat. */
export enum HeartbeatReception {
  /** The entry holds the state of this heartbeat and acknowledges its sequence. */
  Taken = 'taken',
  /** The entry holds a newer state. Acknowledges nothing. */
  Outdated = 'outdated',
  /** The entry does not hold the base; the agent sends a full heartbeat at once. */
  NeedsFull = 'needs-full',
}

export interface EntryListUpdate {
  version: string;
  entries: KnownEntry[];
}

export interface HeartbeatResult {
  entryId: EntryId;
  reception: HeartbeatReception;
  revision: ConfigurationRevision;
  /** For how long the entry may still act under the revision since it read it from the table; 0 when not. */
  confirmedForMs: number;
  /** Left out when the agent has the current version. */
  list?: EntryListUpdate;
}
