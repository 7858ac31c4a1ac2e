/**
 * A part of a daemon: what it serves and what it runs in the tick loop.
 */
import type { Route } from '@figjunction/http';
import type { RpcHandlers } from '@figjunction/rpc';
import type { TickSystem } from '@figjunction/time';

export interface DaemonModule {
  routes?: Route[];
  rpcHandlers?: RpcHandlers;
  systems?: TickSystem[];
  /** Runs once the server listens, in the order of the modules. */
  start?(): Promise<void>;
  /** Runs at a planned stop, before the loop ends. */
  stop?(): Promise<void>;
}
