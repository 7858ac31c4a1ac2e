/**
 * Deletes rows older than the retention time, a limited number per run. The owner of a shard deletes its
 * tasks; the owner of a prefix deletes its claims and proposals.
 */
import { deadlineAfter } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import {
  CLAIM_PREFIX,
  LeaseState,
  PROPOSAL_PREFIX,
  ProposalState,
  SCAN_ROWS_MAXIMUM,
} from '@figjunction/types';
import type {
  ClaimRow,
  LeaseRow,
  ProposalRow,
  TableScanResult,
  VersionedRow,
} from '@figjunction/types';
import { runInBackground } from './task-context.js';
import type { TaskContext } from './task-context.js';

const RETENTION_MS = 24 * 60 * 60 * 1_000;
const DELETIONS_MAXIMUM = 128;
const DELETION_TIMEOUT_MS = 10_000;

type StoredRow = VersionedRow<ClaimRow | ProposalRow>;

export class RetentionSweep {
  /** Start of the next scan page, by prefix. */
  private readonly positions = new Map<string, string>();

  /** When this entry first saw each fenced lease, by key and version. */
  private readonly fencedSince = new Map<string, Instant>();

  private isSweeping = false;

  constructor(private readonly context: TaskContext) {}

  /** Starts one sweep, unless the previous one is still in progress. */
  run(now: Instant): void {
    if (this.isSweeping || !this.context.entry.configuration.isConfirmed(now)) {
      return;
    }
    this.isSweeping = true;
    runInBackground(this.context, 'retention', async () => {
      try {
        await this.sweepTasks();
        await this.sweepLeases(this.context.entry.clock.now());
        await this.sweepPrefix(CLAIM_PREFIX);
        await this.sweepPrefix(PROPOSAL_PREFIX);
      } finally {
        this.isSweeping = false;
      }
    });
  }

  private async sweepTasks(): Promise<void> {
    const { store, entry, shards } = this.context;
    const endedBefore = entry.clock.wallTimeMs() - RETENTION_MS;
    const expired = store.rows
      .endedBefore(endedBefore, DELETIONS_MAXIMUM)
      .filter(({ key, shard }) => !store.isBusy(key) && shards.isServed(shard));
    await Promise.all(
      expired.map(({ key, version }) =>
        store.remove(key, version, { timeoutMs: DELETION_TIMEOUT_MS }),
      ),
    );
    entry.metrics.count('tasks_swept_total', {}, expired.length);
  }

  /** Deletes leases of removed VMs. Lease rows hold no timestamp, so their age is measured by this entry's clock. */
  private async sweepLeases(now: Instant): Promise<void> {
    const { leases, store, entry } = this.context;
    const fenced = leases.all().filter(({ row }) => row.value.state === LeaseState.Fenced);
    const present = new Set(fenced.map(({ row }) => leaseVersionKey(row)));
    for (const name of this.fencedSince.keys()) {
      if (!present.has(name)) {
        this.fencedSince.delete(name);
      }
    }
    const holders = new Set(store.rows.holders());
    for (const { row } of fenced) {
      const since = this.fencedSince.get(leaseVersionKey(row)) ?? now;
      this.fencedSince.set(leaseVersionKey(row), since);
      const { agentId } = row.value;
      if (
        now - since >= RETENTION_MS &&
        !holders.has(agentId) &&
        entry.peers.owns(`agent/${agentId}`)
      ) {
        await this.remove(row.key, row.version);
      }
    }
  }

  private async remove(key: string, expectedVersion: number): Promise<void> {
    await this.context.leaseWriter.submit({
      key,
      expectedVersion,
      value: null,
      deadline: deadlineAfter(this.context.entry.clock, DELETION_TIMEOUT_MS),
    });
  }

  private async sweepPrefix(prefix: string): Promise<void> {
    if (!this.context.entry.peers.owns(`retention/${prefix}`)) {
      return;
    }
    const page: TableScanResult<ClaimRow | ProposalRow> = await this.context.entry.table.scan({
      prefix,
      after: this.positions.get(prefix) ?? '',
      limit: SCAN_ROWS_MAXIMUM,
    });
    const before = this.context.entry.clock.wallTimeMs() - RETENTION_MS;
    const expired = page.rows.filter((row) => isExpired(row, before)).slice(0, DELETIONS_MAXIMUM);
    if (expired.length < DELETIONS_MAXIMUM) {
      this.positions.set(prefix, page.nextAfter ?? '');
    }
    await Promise.all(expired.map(({ key, version }) => this.remove(key, version)));
  }
}

function leaseVersionKey({ key, version }: VersionedRow<LeaseRow>): string {
  return `${key}@${version}`;
}

function isExpired({ value }: StoredRow, before: number): boolean {
  if ('proposalId' in value) {
    return value.state !== ProposalState.Open && value.createdAtMs < before;
  }
  return value.claimedAtMs < before;
}
