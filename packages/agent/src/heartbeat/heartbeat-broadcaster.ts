/**
 * Sends the agent's state to every entry at once. A slow entry delays no other: each has its own
 * exchange, and a new one starts on a new connection while the old one is still unanswered.
 */
import { toError } from '@figjunction/errors';
import { HeartbeatReception, RpcMethod } from '@figjunction/types';
import type { HeartbeatResult, KnownEntry } from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';
import type { EntryFinder } from './entry-discovery.js';
import { HeartbeatComposer } from './heartbeat-composer.js';
import { HeartbeatDescriber } from './heartbeat-content-builder.js';
import type { SliceFetcher } from './configuration-fetcher.js';

/** Shorter than the interval of two heartbeats, so that one lost answer does not look like silence. */
const HEARTBEAT_TIMEOUT_MS = 1_500;

/** At most this many unanswered heartbeats to one entry. */
const UNANSWERED_MAXIMUM = 2;

export class Announcer {
  private readonly composer = new HeartbeatComposer();

  private readonly describer: HeartbeatDescriber;

  private readonly unanswered = new Map<string, number>();

  /** Addresses whose last exchange failed: the pooled connection may be silent. */
  private readonly suspicious = new Set<string>();

  constructor(
    private readonly context: AgentContext,
    private readonly finder: EntryFinder,
    private readonly fetcher: SliceFetcher,
  ) {
    this.describer = new HeartbeatDescriber(context);
  }

  /** Announces to every entry and settles when all have answered or failed. */
  async announce(): Promise<void> {
    const entries = this.context.entries.all();
    this.composer.retain(entries.map(({ address }) => address));
    this.composer.update(this.describer.describe());
    await Promise.all(entries.map((entry) => this.announceTo(entry)));
  }

  private async announceTo(entry: KnownEntry): Promise<void> {
    const { address } = entry;
    const open = this.unanswered.get(address) ?? 0;
    if (open >= UNANSWERED_MAXIMUM) {
      return;
    }
    this.unanswered.set(address, open + 1);
    try {
      await this.exchange(entry);
      this.suspicious.delete(address);
    } catch (error) {
      this.suspicious.add(address);
      this.context.entries.markFailed(entry.entryId);
      this.context.metrics.count('heartbeats_failed_total');
      const { message } = toError(error);
      this.context.logger.debug({ address, error: message }, 'heartbeat failed');
    } finally {
      this.finish(address);
    }
  }

  private finish(address: string): void {
    const left = (this.unanswered.get(address) ?? 1) - 1;
    if (left === 0) {
      this.unanswered.delete(address);
    } else {
      this.unanswered.set(address, left);
    }
  }

  /** Sends what changed, and at once the whole state when the entry lacks the base of the change. */
  private async exchange(entry: KnownEntry): Promise<void> {
    let sentAt = this.context.clock.now();
    let result = await this.send(entry);
    if (result.reception === HeartbeatReception.NeedsFull) {
      this.composer.update(this.describer.describe());
      sentAt = this.context.clock.now();
      result = await this.send(entry);
    }
    await this.fetcher.learn(entry.address, result, sentAt);
  }

  private async send({ address }: KnownEntry): Promise<HeartbeatResult> {
    const mustBeNew = this.suspicious.has(address) || this.unanswered.get(address) !== 1;
    const heartbeat = this.composer.compose(address, this.finder.versionFrom(address));
    const result = await this.context.rpc.call(address, RpcMethod.AgentHeartbeat, heartbeat, {
      timeoutMs: HEARTBEAT_TIMEOUT_MS,
      newConnection: mustBeNew,
    });
    this.composer.noteReception(address, heartbeat, result.reception);
    this.context.entries.markAnswered(result.entryId);
    this.finder.noteAnswer(address, result.list, this.context.clock.now());
    return result;
  }
}
