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

/** What an agent says of one service instance on its VM. */
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
  /** Rises with every heartbeat of the incarnation; an older one that arrives late is dropped. */
  sequence: number;
  state: AgentState;
  revision: ConfigurationRevision;
  /** True when the revision was confirmed within the bound. */
  confirmed: boolean;
}

/** Where the agent is and what its VM can carry. */
export interface AgentPlace {
  address: string;
  location: Location;
  capacity: Resources;
}

/** What new work the agent can take. */
export interface AgentRoom {
  free: Resources;
  /** True when the agent has room and asks for work; used by pull placement. */
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

/** Stated as base by a full heartbeat, which carries every section. */
export const NO_BASE = 0;

export interface HeartbeatParameters extends HeartbeatCore {
  /**
   * A sequence of this incarnation that the entry acknowledged. Sections that are left out did not change
   * after it, so an entry that holds this or a later state gets exactly the state of `sequence`.
   */
  base: number;
  sections: Partial<HeartbeatSections>;
  /** Names the list of entries that the agent has from this entry; empty when it has none. */
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
  /** Left out when the agent named the present version. */
  list?: EntryListUpdate;
}
