/**
 * The feed of the configuration that operators write for a cell.
 */
import type { StoreTime } from '@figjunction/store';
import type { FleetConfiguration } from '@figjunction/types';

export interface ConfigurationChange extends StoreTime {
  /** Null when the configuration has not changed. */
  configuration: FleetConfiguration | null;
  version: number;
  /** Time for which the store has held the answer back, at least, in milliseconds. */
  heldMs: number;
}

export abstract class ConfigurationFeed {
  /** Reads the whole configuration. */
  abstract read(): Promise<ConfigurationChange>;

  /** Waits up to `waitMs` for a change. Null when the history is discarded and `read` is needed. */
  abstract watch(afterVersion: number, waitMs: number): Promise<ConfigurationChange | null>;
}
