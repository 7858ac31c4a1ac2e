/**
 * Dependencies that the parts of a gateway share.
 */
import type { EventLog } from '@figjunction/logger';
import type { RpcClient } from '@figjunction/rpc';
import type { OwnerDirectory } from '@figjunction/scheduler';
import type { FeedStore, StoreClock, StoreHealth } from '@figjunction/store';
import type { Metrics } from '@figjunction/telemetry';
import type { Clock } from '@figjunction/time';

export interface GatewayContext {
  store: FeedStore;
  storeClock: StoreClock;
  storeHealth: StoreHealth;
  clock: Clock;
  events: EventLog;
  metrics: Metrics;
  rpc: RpcClient;
  directory: OwnerDirectory;
}
