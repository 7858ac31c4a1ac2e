/**
 * Agent leases as this entry reads them. An unchanged row counts as expired only when this entry itself
 * read it unchanged, without a longer gap between reads, for the full lease and a margin. So an agent
 * always has a full lease to renew after an outage or after a pause of this entry.
 */
import type { Instant } from '@figjunction/time';
import { LeaseState } from '@figjunction/types';
import type { AgentId, Holder, LeaseRow, VersionedRow } from '@figjunction/types';

const AGENT_LEASE_MS = 10_000;
const MARGIN = 1.1;
/** Time after which an unchanged lease may be fenced. */
export const LEASE_EXPIRY_MS = AGENT_LEASE_MS * MARGIN;
/** A longer gap between successful reads restarts the count. */
const READ_GAP_MAXIMUM_MS = 3_000;

export interface TrackedLease {
  row: VersionedRow<LeaseRow>;
  /** When the row was first read with this version. */
  unchangedSince: Instant;
  /** When a row with this incarnation was first read. */
  incarnationSince: Instant;
}

export class LeaseTracker {
  private readonly leases = new Map<AgentId, TrackedLease>();

  private lastReadStartedAt: Instant = Number.NEGATIVE_INFINITY;

  get(agentId: AgentId): TrackedLease | undefined {
    return this.leases.get(agentId);
  }

  all(): TrackedLease[] {
    return [...this.leases.values()];
  }

  /** When the last successful read of all leases began. */
  lastRead(): Instant {
    return this.lastReadStartedAt;
  }

  /** Takes the result of a read of all leases. */
  takeScan(rows: VersionedRow<LeaseRow>[], startedAt: Instant, endedAt: Instant): void {
    const restart = endedAt - this.lastReadStartedAt > READ_GAP_MAXIMUM_MS;
    const present = new Set<AgentId>();
    for (const row of rows) {
      present.add(row.value.agentId);
      this.takeRow(row, endedAt, restart);
    }
    for (const agentId of this.leases.keys()) {
      if (!present.has(agentId)) {
        this.leases.delete(agentId);
      }
    }
    this.lastReadStartedAt = startedAt;
  }

  /** Takes a row that this entry wrote itself. */
  takeOwnWrite(row: VersionedRow<LeaseRow>, now: Instant): void {
    const known = this.leases.get(row.value.agentId);
    if (known === undefined || known.row.version < row.version) {
      this.takeRow(row, now, false);
    }
  }

  /** Active leases that were read unchanged for the full lease and the margin. */
  expired(now: Instant): TrackedLease[] {
    if (now - this.lastReadStartedAt > READ_GAP_MAXIMUM_MS) {
      return [];
    }
    return this.all().filter(
      ({ row, unchangedSince }) =>
        row.value.state === LeaseState.Active && now - unchangedSince >= LEASE_EXPIRY_MS,
    );
  }

  /** Whether a task's holder can no longer run it: fenced, or replaced for longer than its lease. */
  isFenced(holder: Holder, now: Instant): boolean {
    const lease = this.leases.get(holder.agentId);
    if (lease === undefined || lease.row.value.incarnation < holder.incarnation) {
      return false;
    }
    if (lease.row.value.state === LeaseState.Fenced) {
      return true;
    }
    return (
      lease.row.value.incarnation > holder.incarnation &&
      now - lease.incarnationSince >= LEASE_EXPIRY_MS
    );
  }

  private takeRow(row: VersionedRow<LeaseRow>, readAt: Instant, restart: boolean): void {
    const { agentId, incarnation } = row.value;
    const known = this.leases.get(agentId);
    if (known !== undefined && known.row.version > row.version) {
      return;
    }
    const isUnchanged = known?.row.version === row.version && !restart;
    const isSameIncarnation = known?.row.value.incarnation === incarnation && !restart;
    this.leases.set(agentId, {
      row,
      unchangedSince: isUnchanged ? known.unchangedSince : readAt,
      incarnationSince: isSameIncarnation ? known.incarnationSince : readAt,
    });
  }
}
