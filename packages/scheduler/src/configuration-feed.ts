/**
 * The feed of the configuration that operators write for a cell.
 */
import type { ReadOptions, StoreTime } from '@figjunction/store';
import type { FleetConfiguration } from '@figjunction/types';

export interface ConfigurationChange extends StoreTime {
  /** Null when the configuration has not changed. */
  configuration: FleetConfiguration | null;
  version: number;
  /** Time for which the store has held the answer back, at least, in milliseconds. */
  heldMs: number;
}

export interface ConfigurationWatchOptions extends ReadOptions {
  afterVersion: number;
  /** How long the store waits for a change. */
  waitMs: number;
}

export abstract class ConfigurationFeed {
  /** Reads the whole configuration. */
  abstract read(options?: ReadOptions): Promise<ConfigurationChange>;

  /** Waits for a change. Null when the history is discarded and `read` is needed. */
  abstract watch(options: ConfigurationWatchOptions): Promise<ConfigurationChange | null>;
}
