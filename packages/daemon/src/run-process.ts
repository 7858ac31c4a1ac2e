/**
 * The life of a process: start, one line that says where it listens, and a graceful stop on a signal.
 */
import type { SettingsSources } from '@figjunction/config';
import type { Logger } from '@figjunction/logger';
import { startTracing } from '@figjunction/telemetry';

/** Parsed flags of the command line. */
export type Flags = Record<string, unknown>;

const STOP_SIGNALS: NodeJS.Signals[] = ['SIGTERM', 'SIGINT'];

/** The sources of the settings, in the order in which they override each other. */
export function sourcesOf(flags: Flags): SettingsSources {
  const texts = Object.entries(flags).filter(([, value]) => typeof value === 'string');
  const { settings, ...rest } = Object.fromEntries(texts) as Record<string, string>;
  return { file: settings, environment: process.env, flags: rest };
}

export interface RunningProcess {
  address: string;
  advertisedAddress: string;
  stop(): Promise<void>;
}

export interface ProcessOptions {
  logger: Logger;
  tracesEndpoint: string | null;
  start(): Promise<RunningProcess>;
}

/** Returns when the process has stopped gracefully. Further signals do not cut a stop short. */
export async function runProcess(options: ProcessOptions): Promise<void> {
  const { logger, tracesEndpoint, start } = options;
  const signalled = waitForSignal();
  const tracing = startTracing({ endpoint: tracesEndpoint });
  const running = await Promise.race([start(), signalled.then(() => null)]);
  if (running === null) {
    logger.info({ signal: await signalled }, 'stopped before it was ready');
    process.exit(0);
  }
  const { address, advertisedAddress } = running;
  logger.info({ address, advertisedAddress }, 'listening');
  logger.info({ signal: await signalled }, 'signal received');
  await running.stop();
  await tracing.shutdown();
  // Idle connections of clients would keep the process alive after the work is done.
  process.exit(0);
}

/** The handlers stay, so that later signals of the same kinds are ignored. */
function waitForSignal(): Promise<NodeJS.Signals> {
  return new Promise((resolve) => {
    for (const signal of STOP_SIGNALS) {
      process.on(signal, () => resolve(signal));
    }
  });
}
