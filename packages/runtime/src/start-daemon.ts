/**
 * Runs the modules of a daemon with one HTTP server and one tick loop, and shuts them down gracefully.
 */
import { HttpServer } from '@figjunction/http';
import type { Logger } from '@figjunction/logger';
import { createRpcRoute } from '@figjunction/rpc';
import type { RpcClient, RpcHandlers } from '@figjunction/rpc';
import type { Metrics } from '@figjunction/telemetry';
import { TickLoop, sleep } from '@figjunction/time';
import type { Clock } from '@figjunction/time';
import type { DaemonModule } from './daemon-module.js';

/** The part of a daemon's context that the runtime needs. */
export interface DaemonContext {
  settings: {
    host: string;
    port: number;
    advertisedAddress: string | null;
    sharedToken: string;
    stopTimeoutMs: number;
  };
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  rpc: RpcClient;
}

export interface DaemonOptions {
  context: DaemonContext;
  modules: DaemonModule[];
  /** Called with the advertised address once the server listens, before any module starts. */
  onListening?: (advertisedAddress: string) => void;
  /**
   * If true, the server accepts requests during shutdown until the modules have stopped one after the other.
   * Agents need this because entries query them for the outcome of attempts. If false, the server accepts no
   * new connections once the shutdown begins, so that a load balancer routes requests to other entries.
   */
  answersWhileStopping?: boolean;
}

export interface RunningDaemon {
  /** Address on which the server listens. */
  address: string;
  /** Address at which other processes reach the daemon. */
  advertisedAddress: string;
  /** Shuts down gracefully, within `stopTimeoutMs`. A second call waits for the first. */
  stop(): Promise<void>;
}

interface DaemonState extends Required<DaemonOptions> {
  server: HttpServer;
  loop: TickLoop;
}

export async function startDaemon(options: DaemonOptions): Promise<RunningDaemon> {
  const { context, modules, onListening = () => {}, answersWhileStopping = false } = options;
  const server = createServer(context, modules);
  const address = await server.listen();
  const advertisedAddress = context.settings.advertisedAddress ?? address;
  onListening(advertisedAddress);
  for (const module of modules) {
    await module.start?.();
  }
  const loop = createLoop(context, modules);
  loop.start();
  const state = { context, modules, onListening, answersWhileStopping, server, loop };
  let stopping: Promise<void> | null = null;
  return {
    address,
    advertisedAddress,
    stop(): Promise<void> {
      stopping ??= stopDaemon(state);
      return stopping;
    },
  };
}

function createServer(context: DaemonContext, modules: DaemonModule[]): HttpServer {
  const { host, port, sharedToken } = context.settings;
  const handlers: RpcHandlers = Object.assign({}, ...modules.map((module) => module.rpcHandlers));
  return new HttpServer({
    host,
    port,
    routes: [
      ...modules.flatMap((module) => module.routes ?? []),
      createRpcRoute({ sharedToken, handlers }),
    ],
    onError: (error) => {
      context.metrics.count('internal_errors_total');
      context.logger.error({ error: error.message, stack: error.stack }, 'internal error');
    },
  });
}

function createLoop({ clock, metrics, logger }: DaemonContext, modules: DaemonModule[]): TickLoop {
  return new TickLoop({
    clock,
    systems: modules.flatMap((module) => module.systems ?? []),
    onError: (system, error) => {
      metrics.count('system_errors_total', { system });
      logger.debug({ system, error: error.message }, 'system failed');
    },
  });
}

async function stopDaemon(state: DaemonState): Promise<void> {
  const { context, server, loop } = state;
  const { logger, rpc, settings } = context;
  logger.info('stopping');
  const stopped = state.answersWhileStopping
    ? stopModulesThenClose(state)
    : closeAndStopModules(state);
  const timeout = new AbortController();
  await Promise.race([stopped, sleep(settings.stopTimeoutMs, timeout.signal)]);
  timeout.abort();
  await loop.stop();
  server.closeNow();
  rpc.close();
  logger.info('stopped');
}

async function stopModulesThenClose({ modules, server }: DaemonState): Promise<void> {
  for (const module of modules) {
    await module.stop?.();
  }
  await server.close();
}

async function closeAndStopModules({ modules, server }: DaemonState): Promise<void> {
  await Promise.all([server.close(), ...modules.map((module) => module.stop?.())]);
}
