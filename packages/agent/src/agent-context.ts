/**
 * The state and services that the modules of an agent share.
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
import { ActiveConfiguration } from './active-configuration.js';

/** The capacity, usage and tasks that heartbeats report. The task module keeps it up to date. */
export interface CapacityReport {
  capacity: Resources;
  free: Resources;
  /** The free capacity that the last heartbeat stated. */
  announcedFree: Resources;
  usage: TaskUsage[];
  heldTasks: { taskId: string; attempt: number }[];
  /** The agent serves, holds its lease and has free processors and memory. */
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
  configuration: ActiveConfiguration;
  decisions: DecisionLog;
  instances: InstanceTable;
  pauseDetector: PauseDetector;
  capacityReport: CapacityReport;
  state: AgentState;
  /** Current incarnation of the agent; 0 until the lease is acquired. */
  incarnation: AgentIncarnation;
  /** When the lease expires, counted from the time at which the last successful renewal was sent. */
  leaseDeadline: Instant;
  /** Address that other processes use for this agent; empty until the server listens. */
  address: string;
  /** What the agent still waits for before it can serve; shown by the health check. */
  waitingFor: Set<string>;
  /** Set to send a heartbeat at once because the state changed. */
  isHeartbeatDue: boolean;
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
    configuration: new ActiveConfiguration(),
    decisions: new DecisionLog(),
    instances: new InstanceTable(),
    pauseDetector: new PauseDetector(),
    capacityReport: {
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
    isHeartbeatDue: true,
  };
}
