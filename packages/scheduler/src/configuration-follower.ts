/**
 * Follows the feed of the configuration, and tells how old its copy may be. A poll without an answer is joined by
 * others over new connections, because an open connection can go silent without being closed.
 */
import { ErrorCode, toError } from '@figjunction/errors';
import type { EventLog } from '@figjunction/logger';
import type { ReadOptions } from '@figjunction/store';
import { hedgeCall, sleep } from '@figjunction/time';
import type { Clock, Instant } from '@figjunction/time';
import type { FleetConfiguration } from '@figjunction/types';
import { AnswerTimes } from './answer-times.js';
import type { ConfigurationChange, ConfigurationFeed } from './configuration-feed.js';
import { SchedulerError } from './scheduler-error.js';

export interface ConfigurationFollowerOptions {
  feed: ConfigurationFeed;
  clock: Clock;
  events: EventLog;
  /** How soon a stored configuration has to be in force, in milliseconds. */
  inForceWithinMs?: number;
  /** Called with each newer configuration. */
  onConfiguration?: (configuration: FleetConfiguration) => void;
}

interface AttemptAnswer {
  sentAt: Instant;
  /** True for a reading of the whole configuration. */
  isWhole: boolean;
  change: ConfigurationChange;
}

interface PollAnswer extends AttemptAnswer {
  /** True if an earlier attempt was overdue. */
  isRepeated: boolean;
}

const DEFAULT_IN_FORCE_WITHIN_MS = 2_500;
/** Together with three attempts that get no answer in time, a poll fits the time until a change must be in force. */
const WAIT_SHARE = 0.4;
const ANSWER_SHARE = 0.2;
const RETRY_DELAY_MS = 150;

export class ConfigurationFollower {
  /** The configuration with the highest revision received so far. */
  configuration: FleetConfiguration | null = null;

  private version: number | null = null;

  /** The store had nothing newer then. */
  private confirmedAt: Instant = Number.NEGATIVE_INFINITY;

  private readonly inForceWithinMs: number;

  private readonly answerTimes = new AnswerTimes();

  /** Aborted when an answer makes the copy recent. */
  private readonly waiters = new Set<AbortController>();

  private isStopped = false;

  private wasFailing = false;

  constructor(private readonly options: ConfigurationFollowerOptions) {
    this.inForceWithinMs = options.inForceWithinMs ?? DEFAULT_IN_FORCE_WITHIN_MS;
  }

  /** The longest time for which the store may have had a newer configuration; infinite before the first answer. */
  get ageMs(): number {
    return this.options.clock.now() - this.confirmedAt;
  }

  /** False when a newer configuration may have to be in force already. */
  get isRecent(): boolean {
    return this.ageMs <= this.inForceWithinMs;
  }

  /** Resolves to false if no answer of the store has made the copy recent by then. */
  async waitUntilRecent(timeoutMs: number): Promise<boolean> {
    if (!this.isRecent) {
      const waiter = new AbortController();
      this.waiters.add(waiter);
      await sleep(timeoutMs, waiter.signal);
      this.waiters.delete(waiter);
    }
    return this.isRecent;
  }

  stop(): void {
    this.isStopped = true;
  }

  async run(): Promise<void> {
    while (!this.isStopped) {
      const answer = await this.poll();
      const isAccepted = answer !== null && this.accept(answer);
      // After a reading of the whole configuration, the history may be gone again.
      if (!isAccepted || answer.isWhole) {
        await sleep(RETRY_DELAY_MS);
      }
    }
  }

  /** Null if no attempt was answered; each of them has been logged. */
  private async poll(): Promise<PollAnswer | null> {
    // An answer at once tells sooner that nothing has been missed.
    const waitMs = this.isRecent ? WAIT_SHARE * this.inForceWithinMs : 0;
    const answerMs = ANSWER_SHARE * this.inForceWithinMs;
    const startedAt = this.options.clock.now();
    try {
      const answer = await hedgeCall({
        attempt: (number, signal) =>
          this.attemptAndLog(number === 0 ? waitMs : 0, { newConnection: number > 0, signal }),
        overdueAfterMs: (number) => (number === 0 ? waitMs + answerMs : answerMs),
      });
      if (answer.isRepeated) {
        this.recordOverdue(startedAt);
      }
      return answer;
    } catch {
      return null;
    }
  }

  /** Returns false if the configuration can't be put in force here. */
  private accept(answer: PollAnswer): boolean {
    try {
      this.apply(answer.change);
      this.confirm(answer);
      this.recordSuccess();
      return true;
    } catch (error) {
      this.recordFailure(toError(error), answer.sentAt);
      return false;
    }
  }

  private async attemptAndLog(waitMs: number, options: ReadOptions): Promise<PollAnswer> {
    const sentAt = this.options.clock.now();
    const isRepeated = options.newConnection === true;
    try {
      return { ...(await this.attempt(waitMs, options)), isRepeated };
    } catch (error) {
      if (options.signal?.aborted !== true) {
        this.recordFailure(toError(error), sentAt);
      }
      throw error;
    }
  }

  private async attempt(waitMs: number, options: ReadOptions): Promise<AttemptAnswer> {
    const { feed, clock } = this.options;
    const afterVersion = this.version;
    if (afterVersion !== null) {
      const sentAt = clock.now();
      const change = await feed.watch({ ...options, afterVersion, waitMs: Math.round(waitMs) });
      if (change !== null) {
        return { sentAt, isWhole: false, change };
      }
    }
    return this.readWhole(options);
  }

  /** Reads the configuration before the first poll, and when the history since the last one is gone. */
  private async readWhole(options: ReadOptions): Promise<AttemptAnswer> {
    const sentAt = this.options.clock.now();
    const change = await this.options.feed.read(options);
    if (change.version < (this.version ?? 0)) {
      throw new SchedulerError('the store returned an older state than before', {
        code: ErrorCode.Unavailable,
      });
    }
    return { sentAt, isWhole: true, change };
  }

  private confirm({ sentAt, change }: PollAnswer): void {
    const { heldMs, storeMs } = change;
    const receivedAt = this.options.clock.now();
    const givenAt = this.answerTimes.observe({ sentAt, receivedAt, heldMs, storeMs });
    this.confirmedAt = Math.max(this.confirmedAt, givenAt);
    if (this.isRecent) {
      this.waiters.forEach((waiter) => waiter.abort());
    }
  }

  private apply({ configuration, version }: ConfigurationChange): void {
    const { events, onConfiguration } = this.options;
    if (configuration !== null && configuration.revision > (this.configuration?.revision ?? 0)) {
      onConfiguration?.(configuration);
      this.configuration = configuration;
      const { revision, queues } = configuration;
      events.write('configuration-applied', { revision, queues: queues.length, version });
    }
    this.version = version;
  }

  private recordSuccess(): void {
    if (this.wasFailing) {
      this.wasFailing = false;
      this.options.events.write('configuration-watch-regained', { version: this.version });
    }
  }

  /** The first attempt has had no answer in time: connections may have gone silent. */
  private recordOverdue(startedAt: Instant): void {
    const { clock, events } = this.options;
    events.write('configuration-poll-overdue', {
      version: this.version,
      tookMs: Math.round(clock.now() - startedAt),
      ageMs: Math.round(this.ageMs),
    });
  }

  /** One line for each failed attempt, whose pace bounds their number. */
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
