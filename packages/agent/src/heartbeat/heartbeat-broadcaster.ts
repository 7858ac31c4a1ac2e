/**
 * Sends heartbeats with the agent's state to all entries in parallel. A slow entry delays no other: each
 * entry has its own call, and while one is in flight, the next uses a new connection.
 */
import { toError } from '@figjunction/errors';
import { HeartbeatReception, RpcMethod } from '@figjunction/types';
import type { HeartbeatResult, KnownEntry } from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';
import type { EntryDiscovery } from './entry-discovery.js';
import { HeartbeatComposer } from './heartbeat-composer.js';
import { HeartbeatContentBuilder } from './heartbeat-content-builder.js';
import type { ConfigurationFetcher } from './configuration-fetcher.js';

/** Shorter than two heartbeat intervals: one lost response must not make the agent look unreachable. */
const HEARTBEAT_TIMEOUT_MS = 1_500;

/** Maximum number of heartbeats in flight to one entry. */
const IN_FLIGHT_MAXIMUM = 2;

export class HeartbeatBroadcaster {
  private readonly composer = new HeartbeatComposer();

  private readonly contentBuilder: HeartbeatContentBuilder;

  /** Number of heartbeats in flight by address of the entry. */
  private readonly inFlight = new Map<string, number>();

  /** Addresses whose last call failed; the pooled connection to them may be dead. */
  private readonly failedAddresses = new Set<string>();

  constructor(
    private readonly context: AgentContext,
    private readonly discovery: EntryDiscovery,
    private readonly fetcher: ConfigurationFetcher,
  ) {
    this.contentBuilder = new HeartbeatContentBuilder(context);
  }

  /** Sends a heartbeat to every entry; resolves when every call has succeeded or failed. */
  async broadcast(): Promise<void> {
    const entries = this.context.entries.all();
    this.composer.removeOtherAddresses(entries.map(({ address }) => address));
    this.composer.update(this.contentBuilder.build());
    await Promise.all(entries.map((entry) => this.sendToEntry(entry)));
  }

  private async sendToEntry(entry: KnownEntry): Promise<void> {
    const { address } = entry;
    const inFlightCount = this.inFlight.get(address) ?? 0;
    if (inFlightCount >= IN_FLIGHT_MAXIMUM) {
      return;
    }
    this.inFlight.set(address, inFlightCount + 1);
    try {
      await this.exchange(entry);
      this.failedAddresses.delete(address);
    } catch (error) {
      this.failedAddresses.add(address);
      this.context.entries.markFailed(entry.entryId);
      this.context.metrics.count('heartbeats_failed_total');
      const { message } = toError(error);
      this.context.logger.debug({ address, error: message }, 'heartbeat failed');
    } finally {
      this.decrementInFlight(address);
    }
  }

  private decrementInFlight(address: string): void {
    const remaining = (this.inFlight.get(address) ?? 1) - 1;
    if (remaining === 0) {
      this.inFlight.delete(address);
    } else {
      this.inFlight.set(address, remaining);
    }
  }

  /** Sends the changed sections, then at once the whole state if the entry does not hold the base. */
  private async exchange(entry: KnownEntry): Promise<void> {
    let sentAt = this.context.clock.now();
    let result = await this.send(entry);
    if (result.reception === HeartbeatReception.NeedsFull) {
      this.composer.update(this.contentBuilder.build());
      sentAt = this.context.clock.now();
      result = await this.send(entry);
    }
    await this.fetcher.handleResult(entry.address, result, sentAt);
  }

  private async send({ address }: KnownEntry): Promise<HeartbeatResult> {
    const needsNewConnection =
      this.failedAddresses.has(address) || this.inFlight.get(address) !== 1;
    const heartbeat = this.composer.compose(address, this.discovery.getListVersion(address));
    const result = await this.context.rpc.call(address, RpcMethod.AgentHeartbeat, heartbeat, {
      timeoutMs: HEARTBEAT_TIMEOUT_MS,
      newConnection: needsNewConnection,
    });
    this.composer.recordReception(address, heartbeat, result.reception);
    this.context.entries.markSucceeded(result.entryId);
    this.discovery.recordResponse(address, result.list, this.context.clock.now());
    return result;
  }
}
