/**
 * Dependencies and settings that the parts of a scheduler share.
 */
import type { EventLog } from '@figjunction/logger';
import type { RpcClient } from '@figjunction/rpc';
import type { FeedStore, StoreClock } from '@figjunction/store';
import type { Metrics } from '@figjunction/telemetry';
import type { Clock } from '@figjunction/time';
import type { Adviser } from './adviser.js';
import type { ConfigurationFeed } from './configuration-feed.js';
import type { ProcessorLoad } from './processor-load.js';

export interface CellContext {
  store: FeedStore;
  storeClock: StoreClock;
  clock: Clock;
  events: EventLog;
  metrics: Metrics;
  rpc: RpcClient;
  adviser: Adviser;
  configurationFeed: ConfigurationFeed;
  processorLoad: ProcessorLoad;
  /** URL at which runners and gateways reach this process. */
  address: string;
  processId: string;
  /** How long a runner may extend the lease of its VM, counted from when it sent the report. */
  grantMs: number;
  /** The largest row that the store accepts; it may count its value in base64. */
  rowMaximumBytes: number;
  /** How long a finished job is kept in the tables and in the store. */
  finishedJobRetentionMs: number;
}
