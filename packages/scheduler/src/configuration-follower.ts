/**
 * Follows the feed of the configuration, and tells how old its copy may be.
 */
import { toError } from '@figjunction/errors';
import type { EventLog } from '@figjunction/logger';
import { sleep } from '@figjunction/time';
import type { Clock, Instant } from '@figjunction/time';
import type { FleetConfiguration } from '@figjunction/types';
import { AnswerTimes } from './answer-times.js';
import type { ConfigurationChange, ConfigurationFeed } from './configuration-feed.js';

export interface ConfigurationFollowerOptions {
  feed: ConfigurationFeed;
  clock: Clock;
  events: EventLog;
  /** Called with each newer configuration. */
  onConfiguration?: (configuration: FleetConfiguration) => void;
}

const WATCH_TIMEOUT_MS = 1_200;
const RETRY_DELAY_MS = 150;

export class ConfigurationFollower {
  /** The configuration with the highest revision received so far. */
  configuration: FleetConfiguration | null = null;

  private version: number | null = null;

  /** The store had nothing newer then. */
  private confirmedAt: Instant = Number.NEGATIVE_INFINITY;

  private readonly answerTimes = new AnswerTimes();

  private isStopped = false;

  private wasFailing = false;

  constructor(private readonly options: ConfigurationFollowerOptions) {}

  /** The longest time for which the store may have had a newer configuration; infinite before the first answer. */
  get ageMs(): number {
    return this.options.clock.now() - this.confirmedAt;
  }

  stop(): void {
    this.isStopped = true;
  }

  async run(): Promise<void> {
    const { clock } = this.options;
    while (!this.isStopped) {
      const sentAt = clock.now();
      try {
        await this.pollOnce(sentAt);
        this.recordSuccess();
      } catch (error) {
        this.recordFailure(toError(error), sentAt);
        await sleep(RETRY_DELAY_MS);
      }
    }
  }

  private async pollOnce(sentAt: Instant): Promise<void> {
    const { feed } = this.options;
    if (this.version === null) {
      const whole = await feed.read();
      this.answerTimes.reset();
      this.confirm(sentAt, whole);
      this.apply(whole);
      return;
    }
    const change = await feed.watch(this.version, WATCH_TIMEOUT_MS);
    if (change === null) {
      this.version = null;
      return;
    }
    this.confirm(sentAt, change);
    this.apply(change);
  }

  private confirm(sentAt: Instant, { heldMs, storeMs }: ConfigurationChange): void {
    const receivedAt = this.options.clock.now();
    const givenAt = this.answerTimes.observe({ sentAt, receivedAt, heldMs, storeMs });
    this.confirmedAt = Math.max(this.confirmedAt, givenAt);
  }

  private apply({ configuration, version }: ConfigurationChange): void {
    this.version = version;
    const { events, onConfiguration } = this.options;
    if (configuration !== null && configuration.revision > (this.configuration?.revision ?? 0)) {
      this.configuration = configuration;
      const { revision, queues } = configuration;
      events.write('configuration-applied', { revision, queues: queues.length, version });
      onConfiguration?.(configuration);
    }
  }

  private recordSuccess(): void {
    if (this.wasFailing) {
      this.wasFailing = false;
      this.options.events.write('configuration-watch-regained', { version: this.version });
    }
  }

  /** One line for each failed poll; the timeouts of the polls and the pause between them bound their number. */
  private recordFailure({ message }: Error, sentAt: Instant): void {
    this.wasFailing = true;
    const { clock, events } = this.options;
    events.write('configuration-watch-lost', {
      error: message,
      version: this.version,
      tookMs: Math.round(clock.now() - sentAt),
      ageMs: Math.round(this.ageMs),
    });
  }
}
