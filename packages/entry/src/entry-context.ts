/**
 * The state and services that the modules of an entry share.
 */
import { randomUUID } from 'node:crypto';
import type { EntrySettings } from '@figjunction/config';
import type { Logger } from '@figjunction/logger';
import type { ObjectStore, TableService } from '@figjunction/store';
import { RpcClient } from '@figjunction/rpc';
import { RandomSource, SystemClock } from '@figjunction/time';
import type { Clock } from '@figjunction/time';
import { DecisionLog, Metrics } from '@figjunction/telemetry';
import type { EntryId, EntryIncarnation, TeamDemand } from '@figjunction/types';
import { AgentDirectory } from './agent-directory.js';
import { ConfigurationHolder } from './configuration-holder.js';
import { PeerDirectory } from './peer-directory.js';

/** Request rates per team at this entry and at its peers, used to divide quotas. */
export interface TeamDemandSource {
  demandPerSecond(): TeamDemand[];
  setPeerDemand(entryId: EntryId, demand: TeamDemand[]): void;
}

export interface EntryContext {
  settings: EntrySettings;
  incarnation: EntryIncarnation;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  metrics: Metrics;
  rpc: RpcClient;
  table: TableService;
  objects: ObjectStore;
  agents: AgentDirectory;
  peers: PeerDirectory;
  configuration: ConfigurationHolder;
  decisions: DecisionLog;
  /** Set by the request module. */
  teamDemand: TeamDemandSource;
  /** Reasons why the process is not ready yet; shown in the status and the logs. */
  waitingFor: Set<string>;
}

export interface EntryContextOptions {
  settings: EntrySettings;
  logger: Logger;
  table: TableService;
  objects: ObjectStore;
  clock?: Clock;
}

export function createEntryContext(options: EntryContextOptions): EntryContext {
  const { settings, logger, table, objects, clock = new SystemClock() } = options;
  return {
    settings,
    incarnation: randomUUID(),
    clock,
    random: new RandomSource(settings.seed),
    logger,
    metrics: new Metrics(),
    rpc: new RpcClient({ sharedToken: settings.sharedToken }),
    table,
    objects,
    agents: new AgentDirectory(),
    peers: new PeerDirectory({
      entryId: settings.entryId,
      address: '',
      location: settings.location,
    }),
    configuration: new ConfigurationHolder(),
    decisions: new DecisionLog(),
    teamDemand: { demandPerSecond: () => [], setPeerDemand: () => {} },
    waitingFor: new Set(),
  };
}
