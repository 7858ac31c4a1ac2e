/**
 * A module of a daemon: the routes and RPC handlers it serves and the systems it runs in the tick loop.
 */
import type { Route } from '@figjunction/http';
import type { RpcHandlers } from '@figjunction/rpc';
import type { TickSystem } from '@figjunction/time';

export interface DaemonModule {
  routes?: Route[];
  rpcHandlers?: RpcHandlers;
  systems?: TickSystem[];
  /** Called after the server has started to listen. Modules start in order, each after the previous one. */
  start?(): Promise<void>;
  /** Called at a graceful shutdown, before the loop stops. */
  stop?(): Promise<void>;
}
