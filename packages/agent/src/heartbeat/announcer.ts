/**
 * Sends the agent's state to every entry at once. A slow entry delays no other: each has its own
 * exchange, and a new one starts on a new connection while the old one is still unanswered.
 */
import { toError } from '@figjunction/errors';
import { AgentState, RpcMethod } from '@figjunction/types';
import type {
  HeartbeatParameters,
  HeartbeatResult,
  InstanceReport,
  KnownEntry,
} from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';
import type { InstanceEntry } from '../instance-table.js';
import type { EntryFinder } from './entry-finder.js';
import type { SliceFetcher } from './slice-fetcher.js';

/** Shorter than the interval of two heartbeats, so that one lost answer does not look like silence. */
const HEARTBEAT_TIMEOUT_MS = 1_500;

/** At most this many unanswered heartbeats to one entry. */
const UNANSWERED_MAXIMUM = 2;

export class Announcer {
  private sequence = 0;

  private readonly unanswered = new Map<string, number>();

  /** Addresses whose last exchange failed: the pooled connection may be silent. */
  private readonly suspicious = new Set<string>();

  constructor(
    private readonly context: AgentContext,
    private readonly finder: EntryFinder,
    private readonly fetcher: SliceFetcher,
  ) {}

  /** Announces to every entry and settles when all have answered or failed. */
  async announce(): Promise<void> {
    const heartbeat = this.describe();
    await Promise.all(this.context.entries.all().map((entry) => this.announceTo(entry, heartbeat)));
  }

  private async announceTo(entry: KnownEntry, heartbeat: HeartbeatParameters): Promise<void> {
    const { address } = entry;
    const open = this.unanswered.get(address) ?? 0;
    if (open >= UNANSWERED_MAXIMUM) {
      return;
    }
    this.unanswered.set(address, open + 1);
    try {
      await this.exchange(entry, heartbeat);
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

  private async exchange(entry: KnownEntry, heartbeat: HeartbeatParameters): Promise<void> {
    const sentAt = this.context.clock.now();
    const mustBeNew =
      this.suspicious.has(entry.address) || this.unanswered.get(entry.address) !== 1;
    const result: HeartbeatResult = await this.context.rpc.call(
      entry.address,
      RpcMethod.AgentHeartbeat,
      heartbeat,
      { timeoutMs: HEARTBEAT_TIMEOUT_MS, newConnection: mustBeNew },
    );
    this.context.entries.markAnswered(result.entryId);
    this.finder.noteAnswer(result.entryId, result.entries, this.context.clock.now());
    await this.fetcher.learn(entry.address, result, sentAt);
  }

  private describe(): HeartbeatParameters {
    const { context } = this;
    this.sequence += 1;
    context.room.announcedFree = context.room.free;
    return {
      agentId: context.settings.agentId,
      incarnation: context.incarnation,
      sequence: this.sequence,
      state: context.state,
      address: context.address,
      location: context.settings.location,
      capacity: context.room.capacity,
      free: context.room.free,
      instances: context.instances.all().map((instance) => describeInstance(context, instance)),
      tasks: context.room.heldTasks,
      usage: context.room.usage,
      wantsWork: context.room.wantsWork,
      revision: context.configuration.revision(),
      confirmed: context.configuration.isConfirmed(context.clock.now()),
    };
  }
}

function describeInstance(context: AgentContext, instance: InstanceEntry): InstanceReport {
  const takesWork = context.state === AgentState.Serving && !instance.draining;
  return {
    taskId: instance.taskId,
    service: instance.service,
    attempt: instance.attempt,
    slots: instance.slots,
    slotsUsed: instance.slotsUsed,
    connections: instance.connections,
    connectionsUsed: instance.connectionsUsed,
    ready: takesWork && instance.targetAddress !== null,
  };
}
