/**
 * The feed of the configuration that operators write for a cell, and the loop that follows it.
 */
import { toError } from '@figjunction/errors';
import type { EventLog } from '@figjunction/logger';
import { sleep } from '@figjunction/time';
import type { FleetConfiguration } from '@figjunction/types';

export interface ConfigurationChange {
  /** Null when the configuration has not changed. */
  configuration: FleetConfiguration | null;
  version: number;
}

export abstract class ConfigurationFeed {
  /** Reads the whole configuration. */
  abstract read(): Promise<ConfigurationChange>;

  /** Waits up to `waitMs` for a change. Null when the history is discarded and `read` is needed. */
  abstract watch(afterVersion: number, waitMs: number): Promise<ConfigurationChange | null>;
}

export interface ConfigurationFollowerOptions {
  feed: ConfigurationFeed;
  events: EventLog;
  onConfiguration: (configuration: FleetConfiguration) => void;
}

const WATCH_TIMEOUT_MS = 1_200;
const RETRY_DELAY_MS = 150;

export class ConfigurationFollower {
  /** The configuration with the highest revision received so far. */
  configuration: FleetConfiguration | null = null;

  private version: number | null = null;

  private isStopped = false;

  private wasFailing = false;

  constructor(private readonly options: ConfigurationFollowerOptions) {}

  stop(): void {
    this.isStopped = true;
  }

  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.pollOnce();
        this.recordOutcome(null);
      } catch (error) {
        this.recordOutcome(toError(error));
        await sleep(RETRY_DELAY_MS);
      }
    }
  }

  private async pollOnce(): Promise<void> {
    const { feed } = this.options;
    if (this.version === null) {
      this.apply(await feed.read());
      return;
    }
    const change = await feed.watch(this.version, WATCH_TIMEOUT_MS);
    if (change === null) {
      this.version = null;
      return;
    }
    this.apply(change);
  }

  private apply({ configuration, version }: ConfigurationChange): void {
    this.version = version;
    const { events, onConfiguration } = this.options;
    if (configuration !== null && configuration.revision > (this.configuration?.revision ?? 0)) {
      this.configuration = configuration;
      const { revision, queues } = configuration;
      events.write('configuration-applied', { revision, queues: queues.length });
      onConfiguration(configuration);
    }
  }

  private recordOutcome(error: Error | null): void {
    const isFailing = error !== null;
    if (isFailing !== this.wasFailing) {
      this.wasFailing = isFailing;
      const fields = { error: error?.message, version: this.version };
      this.options.events.write(
        isFailing ? 'configuration-watch-lost' : 'configuration-watch-regained',
        fields,
      );
    }
  }
}
