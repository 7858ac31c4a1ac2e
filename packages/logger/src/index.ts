/**
 * Structured logging. Lines are written only on changes of state; everything that repeats is a counter.
 */
import { pino } from 'pino';
import type { Logger } from 'pino';

export * from './event-log.js';
export type { Logger } from 'pino';

export interface LoggerOptions {
  /** Name of the process, for example `entry-1`. */
  name: string;
  level?: string;
}

/** Headers and fields that must never reach a log line. */
const REDACTED_PATHS = ['authorization', '*.authorization', 'token', '*.token', 'body', '*.body'];

export function createLogger(options: LoggerOptions): Logger {
  const { name, level = 'info' } = options;
  return pino({ name, level, redact: REDACTED_PATHS });
}
export * from './outage.js';
