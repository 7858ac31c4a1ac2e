/**
 * Joins the modules of a daemon into one HTTP server and one loop, and stops them gracefully.
 */
import { HttpServer } from '@figjunction/http';
import type { Logger } from '@figjunction/logger';
import { createRpcRoute } from '@figjunction/rpc';
import type { RpcClient, RpcHandlers } from '@figjunction/rpc';
import type { Metrics } from '@figjunction/telemetry';
import { TickLoop, sleep } from '@figjunction/time';
import type { Clock } from '@figjunction/time';
import type { DaemonModule } from './daemon-module.js';

/** What the frame needs of a daemon's context. */
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
  /** Runs with the address that other processes are told, before any module starts. */
  onListening?: (advertisedAddress: string) => void;
  /**
   * At a stop, an agent answers until its modules have stopped one after the other, because entries ask it
   * for the fate of attempts. An entry takes no new connections at once, so that the balancer moves on.
   */
  answersWhileStopping?: boolean;
}

export interface RunningDaemon {
  /** Where it listens. */
  address: string;
  /** Where other processes reach it. */
  advertisedAddress: string;
  /** Graceful; a second call waits for the first. */
  stop(): Promise<void>;
}

interface DaemonParts extends Required<DaemonOptions> {
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
  const parts = { context, modules, onListening, answersWhileStopping, server, loop };
  let stopping: Promise<void> | null = null;
  return {
    address,
    advertisedAddress,
    stop(): Promise<void> {
      stopping ??= stopDaemon(parts);
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

async function stopDaemon(parts: DaemonParts): Promise<void> {
  const { context, server, loop } = parts;
  const { logger, rpc, settings } = context;
  logger.info('stopping');
  const stopped = parts.answersWhileStopping ? stopThenClose(parts) : closeAndStop(parts);
  const wait = new AbortController();
  await Promise.race([stopped, sleep(settings.stopTimeoutMs, wait.signal)]);
  wait.abort();
  await loop.stop();
  server.closeNow();
  rpc.close();
  logger.info('stopped');
}

async function stopThenClose({ modules, server }: DaemonParts): Promise<void> {
  for (const module of modules) {
    await module.stop?.();
  }
  await server.close();
}

async function closeAndStop({ modules, server }: DaemonParts): Promise<void> {
  await Promise.all([server.close(), ...modules.map((module) => module.stop?.())]);
}
