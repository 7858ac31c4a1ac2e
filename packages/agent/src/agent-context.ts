/**
 * What the parts of an agent share.
 */
import type { AgentSettings } from '@figjunction/config';
import type { Logger } from '@figjunction/logger';
import type { TableService } from '@figjunction/store';
import { RpcClient } from '@figjunction/rpc';
import { RandomSource, SystemClock } from '@figjunction/time';
import type { Clock, Instant } from '@figjunction/time';
import { DecisionLog, Metrics } from '@figjunction/telemetry';
import { AgentState } from '@figjunction/types';
import type { AgentIncarnation, Resources, TaskUsage } from '@figjunction/types';
import type { Worker } from '@figjunction/worker';
import { EntryDirectory } from './entry-directory.js';
import { InstanceTable } from './instance-table.js';
import { PauseDetector } from './pause-detector.js';
import { SliceHolder } from './active-configuration.js';

/** What the heartbeat tells of tasks and room; kept up to date by the task part. */
export interface RoomReport {
  capacity: Resources;
  free: Resources;
  /** The free room that the last heartbeat stated. */
  announcedFree: Resources;
  usage: TaskUsage[];
  heldTasks: { taskId: string; attempt: number }[];
  wantsWork: boolean;
}

export interface AgentContext {
  settings: AgentSettings;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  metrics: Metrics;
  rpc: RpcClient;
  table: TableService;
  worker: Worker;
  entries: EntryDirectory;
  configuration: SliceHolder;
  decisions: DecisionLog;
  instances: InstanceTable;
  pauses: PauseDetector;
  room: RoomReport;
  state: AgentState;
  /** 0 until the lease is acquired. */
  incarnation: AgentIncarnation;
  /** Counted from before the last successful renewal was sent. */
  leaseDeadline: Instant;
  /** This agent's own address, once it listens. */
  address: string;
  waitingFor: Set<string>;
  /** Set when something changed that entries should hear of at once. */
  heartbeatDue: boolean;
}

export interface AgentContextOptions {
  settings: AgentSettings;
  logger: Logger;
  table: TableService;
  worker: Worker;
  clock?: Clock;
}

const NO_RESOURCES: Resources = { processorMillicores: 0, memoryMegabytes: 0, accelerators: 0 };

export function createAgentContext(options: AgentContextOptions): AgentContext {
  const { settings, logger, table, worker, clock = new SystemClock() } = options;
  return {
    settings,
    clock,
    random: new RandomSource(settings.seed),
    logger,
    metrics: new Metrics(),
    rpc: new RpcClient({ sharedToken: settings.sharedToken }),
    table,
    worker,
    entries: new EntryDirectory(),
    configuration: new SliceHolder(),
    decisions: new DecisionLog(),
    instances: new InstanceTable(),
    pauses: new PauseDetector(),
    room: {
      capacity: NO_RESOURCES,
      free: NO_RESOURCES,
      announcedFree: NO_RESOURCES,
      usage: [],
      heldTasks: [],
      wantsWork: false,
    },
    state: AgentState.Starting,
    incarnation: 0,
    leaseDeadline: Number.NEGATIVE_INFINITY,
    address: '',
    waitingFor: new Set(),
    heartbeatDue: true,
  };
}
