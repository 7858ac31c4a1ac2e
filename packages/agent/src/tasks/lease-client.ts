/**
 * Takes and renews the agent's lease through any entry. The deadline counts from before the renewal was
 * sent, so that this agent stops acting before anybody else may take its tasks.
 */
import { toError } from '@figjunction/errors';
import type { Instant } from '@figjunction/time';
import { LeaseState, RpcMethod, leaseKey } from '@figjunction/types';
import type { AgentIncarnation, LeaseRenewResult, LeaseRow } from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';

const LEASE_MS = 10_000;
const LEASE_RENEWAL_INTERVAL_MS = 3_000;

const RETRY_AFTER_MS = 400;
/** Longer than an entry takes before it gives up on the table. */
const CALL_TIMEOUT_MS = 2_500;

/** Entries asked in one round; further ones wait for the next round. */
const ENTRIES_PER_ROUND = 3;

/** A newer incarnation of the same agent id must be silent for a full lease plus margin. */
const SUPERSEDED_WAIT_MS = 11_000;

const WAITING_FOR_LEASE = 'lease';

export interface LeaseEvents {
  /** The lease is held under a new incarnation. */
  onAcquired(): void;
  onRenewed(): void;
  /** The lease is lost: tasks of the incarnation may be given to other agents. */
  onLost(): void;
}

export class LeaseKeeper {
  private nextTry: Instant = Number.NEGATIVE_INFINITY;

  private active = false;

  /** The incarnation to ask for next; 0 until the row was read. */
  private wanted = 0;

  private held = false;

  /** The pooled connections may be silent: the next call uses a new one. */
  private lastCallFailed = false;

  /** Another process with this agent id took the lease; its row is watched until it stops changing. */
  private rival: { count: number; unchangedSince: Instant } | null = null;

  constructor(
    private readonly context: AgentContext,
    private readonly events: LeaseEvents,
  ) {
    context.waitingFor.add(WAITING_FOR_LEASE);
  }

  /** Renews or acquires when it is time; returns at once when an exchange is under way. */
  async keep(now: Instant): Promise<void> {
    if (this.active || now < this.nextTry) {
      return;
    }
    this.active = true;
    try {
      const succeeded = this.held ? await this.renew() : await this.acquire();
      const delay = succeeded
        ? LEASE_RENEWAL_INTERVAL_MS
        : this.context.random.jitter(RETRY_AFTER_MS);
      this.nextTry = now + delay;
    } catch (error) {
      this.nextTry = this.context.clock.now() + this.context.random.jitter(RETRY_AFTER_MS);
      this.context.logger.debug({ error: toError(error).message }, 'lease exchange failed');
    } finally {
      this.active = false;
    }
  }

  private async renew(): Promise<boolean> {
    const { incarnation } = this.context;
    const answer = await this.ask(incarnation, false);
    if (answer.result.renewed) {
      this.extend(answer.sentAt);
      this.events.onRenewed();
      return true;
    }
    await this.loseWhenFenced(incarnation);
    return false;
  }

  /** A refusal may come from renewals that got in each other's way; only the row tells. */
  private async loseWhenFenced(incarnation: AgentIncarnation): Promise<void> {
    const row = await this.readRow();
    const isOurs = row?.incarnation === incarnation && row.state === LeaseState.Active;
    if (!isOurs) {
      this.lose(row?.incarnation ?? 0);
    }
  }

  private async acquire(): Promise<boolean> {
    if (this.rival !== null && !(await this.rivalIsSilent())) {
      return false;
    }
    if (this.wanted === 0) {
      this.wanted = await this.readNextIncarnation();
    }
    const { result, sentAt } = await this.ask(this.wanted, true);
    if (!result.renewed) {
      this.wanted = Math.max(this.wanted, result.incarnation) + 1;
      return false;
    }
    this.held = true;
    this.rival = null;
    this.context.incarnation = this.wanted;
    this.extend(sentAt);
    this.context.waitingFor.delete(WAITING_FOR_LEASE);
    this.context.heartbeatDue = true;
    this.context.logger.info({ incarnation: this.wanted }, 'lease acquired');
    this.events.onAcquired();
    return true;
  }

  private extend(sentAt: Instant): void {
    this.context.leaseDeadline = sentAt + LEASE_MS;
  }

  private lose(incarnationInRow: number): void {
    const { context } = this;
    this.held = false;
    context.leaseDeadline = Number.NEGATIVE_INFINITY;
    context.waitingFor.add(WAITING_FOR_LEASE);
    context.metrics.count('leases_lost_total');
    context.logger.warn({ incarnation: context.incarnation, incarnationInRow }, 'lease lost');
    if (incarnationInRow > context.incarnation) {
      this.rival = { count: -1, unchangedSince: context.clock.now() };
    }
    this.wanted = Math.max(context.incarnation, incarnationInRow) + 1;
    this.events.onLost();
  }

  /** Two processes with one agent id must not take the lease from each other in turns. */
  private async rivalIsSilent(): Promise<boolean> {
    const row = await this.readRow();
    const now = this.context.clock.now();
    if (row === null || this.rival === null) {
      return true;
    }
    if (row.count !== this.rival.count) {
      this.rival = { count: row.count, unchangedSince: now };
    }
    this.wanted = row.incarnation + 1;
    return now - this.rival.unchangedSince > SUPERSEDED_WAIT_MS;
  }

  private async readNextIncarnation(): Promise<number> {
    const row = await this.readRow();
    return (row?.incarnation ?? 0) + 1;
  }

  private async readRow(): Promise<LeaseRow | null> {
    const key = leaseKey(this.context.settings.agentId);
    const [row] = await this.context.table.read<LeaseRow>([key]);
    return row?.value ?? null;
  }

  private async ask(
    incarnation: number,
    acquire: boolean,
  ): Promise<{ result: LeaseRenewResult; sentAt: Instant }> {
    const { settings, rpc, clock, entries } = this.context;
    let failure = new Error('no entry is known');
    for (const entry of entries.preferred().slice(0, ENTRIES_PER_ROUND)) {
      const sentAt = clock.now();
      try {
        const result = await rpc.call(
          entry.address,
          RpcMethod.LeaseRenew,
          { agentId: settings.agentId, incarnation, acquire },
          { timeoutMs: CALL_TIMEOUT_MS, newConnection: this.lastCallFailed },
        );
        this.lastCallFailed = false;
        entries.markAnswered(entry.entryId);
        return { result, sentAt };
      } catch (error) {
        this.lastCallFailed = true;
        entries.markFailed(entry.entryId);
        failure = toError(error);
      }
    }
    throw failure;
  }
}
