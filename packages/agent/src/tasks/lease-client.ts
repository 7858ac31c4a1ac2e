/**
 * Acquires and renews the agent's lease through any entry. The lease deadline is computed from the time
 * before the request was sent, so the lease expires on the agent before an entry may reassign its tasks.
 */
import { toError } from '@figjunction/errors';
import type { Instant } from '@figjunction/time';
import { LeaseState, RpcMethod, leaseKey } from '@figjunction/types';
import type { AgentIncarnation, LeaseRenewResult, LeaseRow } from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';

const LEASE_MS = 10_000;
const LEASE_RENEWAL_INTERVAL_MS = 3_000;

const RETRY_AFTER_MS = 400;
/** Longer than the timeout of an entry's calls to the table. */
const CALL_TIMEOUT_MS = 2_500;

/** How many entries one attempt tries, one after the other. */
const ENTRIES_PER_ATTEMPT = 3;

/** A competing lease counts as expired when its row is unchanged for this long: one lease plus a margin. */
const COMPETING_LEASE_TIMEOUT_MS = 11_000;

const WAITING_FOR_LEASE = 'lease';

export interface LeaseEvents {
  /** Called when the lease is acquired under a new incarnation. */
  onAcquired(): void;
  onRenewed(): void;
  /** Called when the lease is lost: tasks of this incarnation may be placed on other agents. */
  onLost(): void;
}

export class LeaseClient {
  private nextAttemptAt: Instant = Number.NEGATIVE_INFINITY;

  private isCallInProgress = false;

  /** The incarnation to request next; 0 until the lease row has been read. */
  private nextIncarnation = 0;

  private isHeld = false;

  /** Pooled connections may be broken without an error, so the next call opens a new one. */
  private hasLastCallFailed = false;

  /** The lease row of another process with this agent id, observed until the row stops changing. */
  private competingLease: { count: number; unchangedSince: Instant } | null = null;

  constructor(
    private readonly context: AgentContext,
    private readonly events: LeaseEvents,
  ) {
    context.waitingFor.add(WAITING_FOR_LEASE);
  }

  /** Renews or acquires the lease when due. Returns at once while a call is in progress. */
  async acquireOrRenew(now: Instant): Promise<void> {
    if (this.isCallInProgress || now < this.nextAttemptAt) {
      return;
    }
    this.isCallInProgress = true;
    try {
      const succeeded = this.isHeld ? await this.renew() : await this.acquire();
      const delay = succeeded
        ? LEASE_RENEWAL_INTERVAL_MS
        : this.context.random.jitter(RETRY_AFTER_MS);
      this.nextAttemptAt = now + delay;
    } catch (error) {
      this.nextAttemptAt = this.context.clock.now() + this.context.random.jitter(RETRY_AFTER_MS);
      this.context.logger.debug({ error: toError(error).message }, 'lease request failed');
    } finally {
      this.isCallInProgress = false;
    }
  }

  private async renew(): Promise<boolean> {
    const { incarnation } = this.context;
    const response = await this.sendRequest(incarnation, false);
    if (response.result.renewed) {
      this.extend(response.sentAt);
      this.events.onRenewed();
      return true;
    }
    await this.loseIfFenced(incarnation);
    return false;
  }

  /** Concurrent renewals can cause a refusal, so the row decides whether the lease is fenced. */
  private async loseIfFenced(incarnation: AgentIncarnation): Promise<void> {
    const row = await this.readRow();
    const isOurs = row?.incarnation === incarnation && row.state === LeaseState.Active;
    if (!isOurs) {
      this.handleLoss(row?.incarnation ?? 0);
    }
  }

  private async acquire(): Promise<boolean> {
    if (this.competingLease !== null && !(await this.hasCompetingLeaseExpired())) {
      return false;
    }
    if (this.nextIncarnation === 0) {
      this.nextIncarnation = await this.readNextIncarnation();
    }
    const { result, sentAt } = await this.sendRequest(this.nextIncarnation, true);
    if (!result.renewed) {
      this.nextIncarnation = Math.max(this.nextIncarnation, result.incarnation) + 1;
      return false;
    }
    this.isHeld = true;
    this.competingLease = null;
    this.context.incarnation = this.nextIncarnation;
    this.extend(sentAt);
    this.context.waitingFor.delete(WAITING_FOR_LEASE);
    this.context.isHeartbeatDue = true;
    this.context.logger.info({ incarnation: this.nextIncarnation }, 'lease acquired');
    this.events.onAcquired();
    return true;
  }

  private extend(sentAt: Instant): void {
    this.context.leaseDeadline = sentAt + LEASE_MS;
  }

  private handleLoss(incarnationInRow: number): void {
    const { context } = this;
    this.isHeld = false;
    context.leaseDeadline = Number.NEGATIVE_INFINITY;
    context.waitingFor.add(WAITING_FOR_LEASE);
    context.metrics.count('leases_lost_total');
    context.logger.warn({ incarnation: context.incarnation, incarnationInRow }, 'lease lost');
    if (incarnationInRow > context.incarnation) {
      this.competingLease = { count: -1, unchangedSince: context.clock.now() };
    }
    this.nextIncarnation = Math.max(context.incarnation, incarnationInRow) + 1;
    this.events.onLost();
  }

  /** Prevents two processes with the same agent id from taking the lease from each other repeatedly. */
  private async hasCompetingLeaseExpired(): Promise<boolean> {
    const row = await this.readRow();
    const now = this.context.clock.now();
    if (row === null || this.competingLease === null) {
      return true;
    }
    if (row.count !== this.competingLease.count) {
      this.competingLease = { count: row.count, unchangedSince: now };
    }
    this.nextIncarnation = row.incarnation + 1;
    return now - this.competingLease.unchangedSince > COMPETING_LEASE_TIMEOUT_MS;
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

  /** Tries the preferred entries in turn; throws the last failure when none responds. */
  private async sendRequest(
    incarnation: number,
    acquire: boolean,
  ): Promise<{ result: LeaseRenewResult; sentAt: Instant }> {
    const { settings, rpc, clock, entries } = this.context;
    let failure = new Error('no entry is known');
    for (const entry of entries.inPreferenceOrder().slice(0, ENTRIES_PER_ATTEMPT)) {
      const sentAt = clock.now();
      try {
        const result = await rpc.call(
          entry.address,
          RpcMethod.LeaseRenew,
          { agentId: settings.agentId, incarnation, acquire },
          { timeoutMs: CALL_TIMEOUT_MS, newConnection: this.hasLastCallFailed },
        );
        this.hasLastCallFailed = false;
        entries.markSucceeded(entry.entryId);
        return { result, sentAt };
      } catch (error) {
        this.hasLastCallFailed = true;
        entries.markFailed(entry.entryId);
        failure = toError(error);
      }
    }
    throw failure;
  }
}
